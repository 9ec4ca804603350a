import type { Clock } from '@hickorybridge/utils';

interface Sleeper {
  readonly until: number;
  readonly wake: () => void;
}

/** Clock that moves only when a test says so. */
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

  /** Moves the time on, wakes the sleepers that are due and lets their tasks run. */
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
