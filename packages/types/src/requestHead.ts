/** Flat list of alternating header names and values, like `rawHeaders` in Node.js. */
export type HeaderList = readonly string[];

/** A request without its body, as one node sends it to another. */
export interface RequestHead {
  readonly requestId: string;
  readonly service: string;
  readonly backendServerId: string;
  /** Incarnation, as known to the router, of the node that published the announcement. */
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
  /** Latest time at which an answer is fully useful, same clock; absent if the kind has no target. */
  readonly usefulUntil?: number | undefined;
  /** Expected work, as estimated by the sender, in milliseconds at the usual speed of hosts. */
  readonly expectedWorkMilliseconds?: number | undefined;
  /** Number of ancestors in the call chain. */
  readonly depth: number;
  /** Whether this attempt repeats an earlier one, or is part of a run that does. */
  readonly isRepeat?: boolean | undefined;
  /** Whether another attempt is running elsewhere, so that this one is refused rather than queued. */
  readonly isHedge?: boolean | undefined;
  /** Name of the caller's tenant; absent if callers need no key. */
  readonly tenant?: string | undefined;
  /** Priority of the tenant, which takes precedence over `weight`; absent if it has none. */
  readonly tenantPriority?: number | undefined;
  /** Remaining attempts, including this one. */
  readonly attempts: number;
  readonly traceparent?: string | undefined;
}

/** Status and headers of a backend server's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
  /**
   * True if the body is delimited only by the close of the connection. It may be truncated, so it
   * is never forwarded with a length.
   */
  readonly endsWithConnection?: boolean;
  /**
   * Declared length of a body that follows as a stream, or of one that is not sent, as after `HEAD`.
   * The length of a body that is held whole is that of its data.
   */
  readonly contentLength?: number;
}

/** Why admission refused a request. A refused request did not run. */
export const RefusalReason = {
  deadlinePassed: 'deadline-passed',
  deadlineUnreachable: 'deadline-unreachable',
  queueFull: 'queue-full',
  shed: 'shed',
  leaving: 'leaving',
  noSuchBackendServer: 'no-such-backend-server',
  /** Another backend server, which answers at the same address, has rejected the request. */
  misdirected: 'misdirected',
  staleIncarnation: 'stale-incarnation',
  connectionRefused: 'connection-refused',
  backendServerShed: 'backend-server-shed',
  cancelled: 'cancelled',
  notReady: 'not-ready',
  /** Nothing was sent, because there was no connection to the node. */
  notSent: 'not-sent',
} as const;

export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];
