/** What a caller knows about its request when it is over. */
export const Told = {
  answered: 'answered',
  notRun: 'not-run',
  unknown: 'unknown',
  /** The connection ended before a complete reply. */
  cutOff: 'cut-off',
  /** No reply in the time limit. */
  nothing: 'nothing',
} as const;

export type Told = (typeof Told)[keyof typeof Told];

/** One request as its caller saw it. */
export interface CallerRecord {
  /** Unique mark of this sending; the backend server records it with each run. */
  readonly mark: string;
  readonly key: string | undefined;
  readonly service: string;
  readonly kind: string;
  readonly idempotent: boolean;
  readonly region: string;
  /** Node that took the request; `undefined` when no node could be reached. */
  readonly nodeId: string | undefined;
  readonly told: Told;
  /** Status of the reply; 0 when there is none. */
  readonly status: number;
  /** Type of the problem, for a reply that the system made itself. */
  readonly problem: string | undefined;
  readonly requestId: string | undefined;
  /** Whether the reply is the stored answer of an earlier request with the same key. */
  readonly replayed: boolean;
  /** Whether the answer's bytes belong to this request, or to an earlier one of its key. */
  readonly bytesRight: boolean;
  /** Time at which the request was sent, milliseconds since the Unix epoch. */
  readonly sentAt: number;
  readonly milliseconds: number;
  /** What went wrong with the connection. */
  readonly detail?: string | undefined;
}
