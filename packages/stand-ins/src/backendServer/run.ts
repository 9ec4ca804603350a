/** How far a run has come. */
export const RunState = {
  running: 'running',
  completed: 'completed',
  cancelled: 'cancelled',
} as const;

export type RunState = (typeof RunState)[keyof typeof RunState];

/** One run of one request in a slot. A shed or queued request has none. */
export interface Run {
  readonly requestId: string;
  readonly idempotencyKey: string | undefined;
  readonly mark: string;
  /** Wall-clock milliseconds since the Unix epoch, with fractions. */
  readonly start: number;
  end: number | undefined;
  state: RunState;
}

/** What `/runs` answers. */
export interface RunReport {
  readonly backendServerId: string;
  readonly runs: readonly Run[];
  /** Requests that were refused with proof that they did not run. */
  readonly shed: number;
  /** Time at which the last request arrived, milliseconds since the Unix epoch. */
  readonly lastArrival: number;
}

/** Gives the wall-clock time in milliseconds, with fractions. */
export function preciseWallTime(): number {
  return performance.timeOrigin + performance.now();
}
