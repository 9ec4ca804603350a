/** How a request ended for the caller that sent it. */
export const RequestEnd = {
  answered: 'answered',
  /** The connection ended without a complete answer. */
  closed: 'closed',
  /** The caller closed the connection, at its deadline or before. */
  left: 'left',
  /** No connection could be opened. */
  notConnected: 'not-connected',
} as const;

export type RequestEnd = (typeof RequestEnd)[keyof typeof RequestEnd];

/** How a backend server behaves. */
export type BackendMode = 'normal' | 'slow' | 'failing' | 'breaking-off' | 'shedding';

/** What each type of event tells. */
export interface EventFields {
  /** A caller or a run began to send a request. */
  readonly sent: {
    readonly id: string;
    readonly node: string;
    readonly route: string;
    readonly service: string;
    readonly idempotent: boolean;
    readonly maxAttempts: number;
    readonly deadlineMilliseconds: number;
    readonly timeoutMilliseconds: number;
    /** The request whose run made this call. */
    readonly parent?: string;
    /** Whether that run was itself a repeat. */
    readonly belowRepeat?: boolean;
    /** API key of a caller where the deployment has tenants; empty if it sent none. */
    readonly key?: string;
    /** Whether the caller leaves before its deadline. */
    readonly abandoned?: boolean;
  };
  readonly ended: {
    readonly id: string;
    readonly node: string;
    readonly end: RequestEnd;
    /** Whether the connection had carried an earlier request. */
    readonly kept: boolean;
    /** When the last byte was sent; absent if the request was not sent whole. */
    readonly sentAt?: number;
    readonly status?: number;
    /** Whether the answer bears the signature of a backend server. */
    readonly signed?: boolean;
    readonly detail?: string;
  };
  /** A request reached a backend server; `accepted` into a slot or the queue. */
  readonly arrived: {
    readonly id: string;
    readonly backend: string;
    readonly node: string;
    readonly service: string;
    readonly accepted: boolean;
    /** `Deadline-Ms` as received. */
    readonly deadlineMilliseconds?: number;
    /** `Tenant` as received. */
    readonly tenant?: string;
    /** Whether the head contained an API key or `Authorization`. */
    readonly keySeen?: boolean;
  };
  readonly 'run-ended': {
    readonly id: string;
    readonly backend: string;
    readonly end: 'answered' | 'dropped' | 'broke-off' | 'not-executed';
  };
  readonly 'node-started': { readonly node: string; readonly processId: number };
  readonly 'node-ready': { readonly node: string };
  readonly 'node-ended': {
    readonly node: string;
    readonly code: number | null;
    readonly signal: string | null;
  };
  /** A signal from this program; `afterGrace` marks the kill at the end of the grace time. */
  readonly signal: {
    readonly node: string;
    readonly signal: 'SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP' | 'SIGCONT';
    readonly afterGrace?: boolean;
  };
  readonly 'settings-replaced': { readonly node: string; readonly atomically: boolean };
  /** Another listener holds a port of a node. */
  readonly 'port-held': { readonly node: string; readonly port: number };
  readonly 'port-freed': { readonly node: string; readonly port: number };
  readonly store: { readonly state: 'absent' | 'down' | 'refusing' | 'up' };
  readonly configuration: { readonly version: number };
  /** A configuration without this API key was written. */
  readonly 'key-removed': { readonly key: string };
  readonly backend: {
    readonly backend: string;
    readonly node: string;
    readonly state: 'started' | 'draining' | 'gone' | BackendMode;
  };
  /** Callers send so many times the usual requests. */
  readonly load: { readonly factor: number };
  /** This program's own event loop was late. */
  readonly 'rig-stalled': { readonly milliseconds: number };
}

/** What is recorded without its time. */
export type SoakOccurrence = {
  [Type in keyof EventFields]: { readonly type: Type } & EventFields[Type];
}[keyof EventFields];

/** One event; `at` is in milliseconds since the start of the run. */
export type SoakEvent = SoakOccurrence & { readonly at: number };

/** An event of one type. */
export type EventOf<Type extends keyof EventFields> = Extract<SoakEvent, { type: Type }>;

/** Gives the events of one type. */
export function eventsOf<Type extends keyof EventFields>(
  events: readonly SoakEvent[],
  type: Type,
): EventOf<Type>[] {
  return events.filter((event): event is EventOf<Type> => event.type === type);
}
