/** Names of the problem types in error responses that the system itself generates. */
export const ProblemName = {
  noSuchService: 'no-such-service',
  noSuchKind: 'no-such-kind',
  badRequest: 'bad-request',
  notReady: 'not-ready',
  noBackendServer: 'no-backend-server',
  overloaded: 'overloaded',
  deadlineExceeded: 'deadline-exceeded',
  tooDeep: 'too-deep',
  connectionLost: 'connection-lost',
  alreadyClaimed: 'already-claimed',
  idempotencyKeyReuse: 'idempotency-key-reuse',
  idempotencyRecordUnavailable: 'idempotency-record-unavailable',
} as const;

export type ProblemName = (typeof ProblemName)[keyof typeof ProblemName];

/** Problem details (RFC 9457) as sent to a caller. */
export interface ProblemDetails {
  /** `urn:hickorybridge:problem:NAME`. */
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
}
