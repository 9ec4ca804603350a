import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

/** Source of time that tests can replace. */
export interface Clock {
  /** Monotonic time in milliseconds, with fractions. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallTime(): number;
  /** Waits; resolves early, without an error, when the signal aborts. */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** Clock backed by the timers of Node.js. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
  sleep: async (milliseconds, signal) => {
    try {
      await sleep(milliseconds, undefined, signal === undefined ? {} : { signal });
    } catch {
      // The promise is rejected only when the signal aborts.
    }
  },
};
