import type { BackendMode } from '../mesh/MeshHost.js';

/** A time from the start of a disturbance or of a process until a step, with that step. */
export interface EarlySignal {
  readonly afterMilliseconds: number;
  readonly signal: 'SIGHUP' | 'SIGTERM';
}

/** Something that is done to the deployment at a time; hosts are named by their index. */
export type Disturbance = { readonly at: number } & (
  | { readonly type: 'stop'; readonly host: number; readonly absentMilliseconds: number }
  | { readonly type: 'kill'; readonly hosts: readonly number[] }
  | { readonly type: 'reload'; readonly host: number }
  | { readonly type: 'pause'; readonly host: number; readonly milliseconds: number }
  | { readonly type: 'configure'; readonly timeoutFactor: number; readonly extraRoutes: number }
  | { readonly type: 'drain'; readonly host: number; readonly absentMilliseconds: number }
  | {
      readonly type: 'backend-mode';
      readonly host: number;
      readonly mode: BackendMode;
      readonly milliseconds: number;
    }
  | {
      readonly type: 'slots';
      readonly host: number;
      readonly slots: number;
      readonly milliseconds: number;
    }
  | {
      readonly type: 'store';
      readonly state: 'absent' | 'down' | 'refusing';
      readonly milliseconds: number;
    }
  | { readonly type: 'load'; readonly factor: number; readonly milliseconds: number }
  | { readonly type: 'hasty-callers'; readonly milliseconds: number }
  | {
      /** Stops a node, and signals the process that follows it in its first moments. */
      readonly type: 'restart';
      readonly host: number;
      readonly signals: readonly EarlySignal[];
      /** Also replaces the settings file that long after the start. */
      readonly settings?: { readonly afterMilliseconds: number; readonly atomically: boolean };
    }
  | {
      /** Stops a node, and holds one of its ports while it starts again. */
      readonly type: 'hold-port';
      readonly host: number;
      readonly listener: 'callers' | 'reports' | 'readiness' | 'peers';
      readonly milliseconds: number;
    }
);
