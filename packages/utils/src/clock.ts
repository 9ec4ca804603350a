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

/** A clock with timers that cost less than a sleep that is cancelled. */
export interface TimerClock extends Clock {
  /** Schedules a callback and returns a function that cancels it. */
  schedule(milliseconds: number, callback: () => void): () => void;
}

/** Clock backed by the timers of Node.js. */
export const systemClock: TimerClock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
  schedule: (milliseconds, callback) => {
    const timer = setTimeout(callback, milliseconds);
    return () => clearTimeout(timer);
  },
  sleep: async (milliseconds, signal) => {
    try {
      await sleep(milliseconds, undefined, signal === undefined ? {} : { signal });
    } catch {
      // The promise is rejected only when the signal aborts.
    }
  },
};
