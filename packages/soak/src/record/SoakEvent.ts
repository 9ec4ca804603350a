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

/** How a run of a request ended at its backend server. */
export const RunEnd = {
  answered: 'answered',
  /** The connection was closed from the other side, or the deadline passed. */
  dropped: 'dropped',
  /** The backend server itself closed the connection. */
  brokeOff: 'broke-off',
  /** The deadline passed in the queue; the request did not run. */
  notExecuted: 'not-executed',
} as const;

export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** What a caller sent; `at` is when it began. */
export interface RequestSent {
  readonly type: 'sent';
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
  /** Whether a run that was itself a repeat, or below one, made this call. */
  readonly belowRepeat?: boolean;
}

/** How a request ended. */
export interface RequestEnded {
  readonly type: 'ended';
  readonly id: string;
  readonly node: string;
  readonly end: RequestEnd;
  /** Whether the connection had carried an earlier request. */
  readonly kept: boolean;
  /** When the last byte was sent; absent if the request was not sent whole. */
  readonly sentAt?: number;
  readonly status?: number;
  readonly signed?: boolean;
  readonly detail?: string;
}

/** A request reached a backend server. */
export interface RequestArrived {
  readonly type: 'arrived';
  readonly id: string;
  readonly backend: string;
  readonly node: string;
  readonly service: string;
  /** Whether it was taken into a slot or the queue. */
  readonly accepted: boolean;
  /** `Deadline-Ms` as received. */
  readonly deadlineMilliseconds?: number;
}

export interface RunEnded {
  readonly type: 'run-ended';
  readonly id: string;
  readonly backend: string;
  readonly end: RunEnd;
}

export interface NodeStarted {
  readonly type: 'node-started';
  readonly node: string;
  readonly processId: number;
}

export interface NodeReady {
  readonly type: 'node-ready';
  readonly node: string;
}

export interface NodeEnded {
  readonly type: 'node-ended';
  readonly node: string;
  readonly code: number | null;
  readonly signal: string | null;
}

/** A signal from this program to a node. */
export interface SignalSent {
  readonly type: 'signal';
  readonly node: string;
  readonly signal: 'SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP' | 'SIGCONT';
  /** Set on the kill of a process that outlived its grace time. */
  readonly afterGrace?: boolean;
}

/** A settings file was replaced, whole or in two parts with a gap between them. */
export interface SettingsReplaced {
  readonly type: 'settings-replaced';
  readonly node: string;
  readonly atomically: boolean;
}

/** Another listener holds a port of a node, or has left it. */
export interface PortHeld {
  readonly type: 'port-held' | 'port-freed';
  readonly node: string;
  readonly port: number;
}

export interface StoreChanged {
  readonly type: 'store';
  readonly state: 'absent' | 'down' | 'refusing' | 'up';
}

export interface ConfigurationWritten {
  readonly type: 'configuration';
  readonly version: number;
}

export interface BackendChanged {
  readonly type: 'backend';
  readonly backend: string;
  readonly node: string;
  readonly state: 'started' | 'draining' | 'gone' | 'slow' | 'failing' | 'breaking-off' | 'normal';
}

/** Callers press beyond the usual. */
export interface LoadChanged {
  readonly type: 'load';
  readonly factor: number;
}

/** This program's own event loop was late. */
export interface RigStalled {
  readonly type: 'rig-stalled';
  readonly milliseconds: number;
}

/** What is recorded without its time. */
export type SoakOccurrence =
  | RequestSent
  | RequestEnded
  | RequestArrived
  | RunEnded
  | NodeStarted
  | NodeReady
  | NodeEnded
  | SignalSent
  | SettingsReplaced
  | PortHeld
  | StoreChanged
  | ConfigurationWritten
  | BackendChanged
  | LoadChanged
  | RigStalled;

/** One event; `at` is in milliseconds since the start of the run. */
export type SoakEvent = SoakOccurrence & { readonly at: number };

/** Gives the events of one type. */
export function eventsOf<Type extends SoakEvent['type']>(
  events: readonly SoakEvent[],
  type: Type,
): Extract<SoakEvent, { type: Type }>[] {
  return events.filter((event): event is Extract<SoakEvent, { type: Type }> => event.type === type);
}
