import type { BackendMode } from '../record/SoakEvent.js';

/** A signal to a process in its first moments. */
export interface EarlySignal {
  readonly afterMilliseconds: number;
  readonly signal: 'SIGHUP' | 'SIGTERM';
}

interface OnHost<Type extends string> {
  readonly type: Type;
  readonly host: number;
}

interface Lasting {
  readonly milliseconds: number;
}

/** Stops a node, and disturbs the process that follows it in its first moments. */
export type Restart = OnHost<'restart'> & {
  readonly signals: readonly EarlySignal[];
  readonly settings?: { readonly afterMilliseconds: number; readonly atomically: boolean };
};

/** Stops a node, and holds one of its ports while it starts again. */
export type HoldPort = OnHost<'hold-port'> &
  Lasting & { readonly listener: 'callers' | 'reports' | 'readiness' | 'peers' };

/** Something that is done to the deployment at a time; hosts are named by their index. */
export type Disturbance = { readonly at: number } & (
  | (OnHost<'stop'> & { readonly absentMilliseconds: number })
  | OnHost<'kill'>
  | OnHost<'reload'>
  | (OnHost<'pause'> & Lasting)
  | (OnHost<'drain'> & { readonly absentMilliseconds: number })
  | (OnHost<'backend-mode'> & Lasting & { readonly mode: BackendMode })
  | (OnHost<'slots'> & Lasting & { readonly slots: number })
  | { readonly type: 'configure'; readonly timeoutFactor: number; readonly extraRoutes: number }
  | { readonly type: 'remove-key' }
  | ({ readonly type: 'store'; readonly state: 'absent' | 'down' | 'refusing' } & Lasting)
  | ({ readonly type: 'load'; readonly factor: number } & Lasting)
  | ({ readonly type: 'hasty-callers' } & Lasting)
  | Restart
  | HoldPort
);
