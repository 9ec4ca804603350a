import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

/** Source of time, so that tests can inject their own. */
export interface Clock {
  /** Monotonic time in milliseconds, with fractions. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallTime(): number;
  /** Waits; ends early and quietly when the signal aborts. */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
  sleep: async (milliseconds, signal) => {
    try {
      await sleep(milliseconds, undefined, signal === undefined ? {} : { signal });
    } catch {
      // The only reason for a rejection is the abort of the signal.
    }
  },
};
