import type { Clock } from '@hickorybridge/utils';

interface Sleeper {
  readonly until: number;
  readonly wake: () => void;
}

/** Clock that only advances when a test calls `advance`. */
export class ManualClock implements Clock {
  #now = 1_000;

  #sleepers: Sleeper[] = [];

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((wake) => {
      this.#sleepers.push({ until: this.#now + milliseconds, wake });
      signal?.addEventListener('abort', () => wake(), { once: true });
    });
  }

  /** Advances the time, resolves the sleeps that are due and lets their continuations run. */
  async advance(milliseconds: number): Promise<void> {
    this.#now += milliseconds;
    const due = this.#sleepers.filter((sleeper) => sleeper.until <= this.#now);
    this.#sleepers = this.#sleepers.filter((sleeper) => sleeper.until > this.#now);
    for (const sleeper of due) sleeper.wake();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
