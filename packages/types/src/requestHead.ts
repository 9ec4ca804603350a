/** Flat list of header names and values: name, value, name, value. */
export type HeaderList = readonly string[];

/** Everything about a request but its body, as one node sends it to another. */
export interface RequestHead {
  readonly requestId: string;
  readonly service: string;
  readonly backendServerId: string;
  /** Incarnation of the node that the router believes to carry the announcement. */
  readonly incarnation: number;
  readonly kind: string;
  readonly idempotent: boolean;
  /** Weight of the kind in the deployment's schedule; greater is more important. */
  readonly weight: number;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  readonly headers: HeaderList;
  /** Milliseconds of the monotonic clock of the process that holds this object. */
  readonly deadline: number;
  /** Until when an answer is fully useful, on the same clock; absent when the kind has no target. */
  readonly usefulUntil?: number | undefined;
  /** Work that the sender expects, in milliseconds at the usual speed of hosts. */
  readonly expectedWorkMilliseconds?: number | undefined;
  /** Number of calls above this one. */
  readonly depth: number;
  /** Tries that are still permitted, this one included. */
  readonly attempts: number;
  readonly traceparent?: string | undefined;
}

/** Status and headers of a backend server's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
  /**
   * True when only the end of its connection ended the answer. It may have been cut short, so it
   * is passed on in the same way and never with a length.
   */
  readonly endsWithConnection?: boolean;
}

/** Why admission refused a request. A refused request did not run. */
export const RefusalReason = {
  deadlinePassed: 'deadline-passed',
  deadlineUnreachable: 'deadline-unreachable',
  queueFull: 'queue-full',
  shed: 'shed',
  leaving: 'leaving',
  noSuchBackendServer: 'no-such-backend-server',
  staleIncarnation: 'stale-incarnation',
  connectionRefused: 'connection-refused',
  backendServerShed: 'backend-server-shed',
  cancelled: 'cancelled',
  notReady: 'not-ready',
  /** There was no connection to the node, so nothing was sent. */
  notSent: 'not-sent',
} as const;

export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];
