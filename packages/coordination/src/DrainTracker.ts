import type { Clock } from '@hickorybridge/utils';

/** Outcome of a drain; `remaining` is the number of operations still open at the time limit. */
export type DrainOutcome =
  { readonly type: 'drained' } | { readonly type: 'timed-out'; readonly remaining: number };

/** Counts open operations; a drain refuses new ones and waits until the open ones have ended. */
export class DrainTracker {
  readonly #clock: Pick<Clock, 'sleep'>;

  readonly #idle = new AbortController();

  #open = 0;

  #draining = false;

  constructor(clock: Pick<Clock, 'sleep'>) {
    this.#clock = clock;
  }

  /** Number of open operations. */
  get open(): number {
    return this.#open;
  }

  /** Whether new operations are refused. */
  get draining(): boolean {
    return this.#draining;
  }

  /** Begins an operation; returns the function that ends it, or `undefined` while draining. */
  tryEnter(): (() => void) | undefined {
    if (this.#draining) return undefined;
    this.#open += 1;
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      this.#open -= 1;
      this.#signalIfIdle();
    };
  }

  /**
   * Refuses new operations and waits until the open ones have ended or the time limit has passed.
   */
  async drain(limitMilliseconds: number): Promise<DrainOutcome> {
    this.#draining = true;
    this.#signalIfIdle();
    await this.#clock.sleep(limitMilliseconds, this.#idle.signal);
    if (this.#open === 0) return { type: 'drained' };
    return { type: 'timed-out', remaining: this.#open };
  }

  #signalIfIdle(): void {
    if (this.#draining && this.#open === 0) this.#idle.abort();
  }
}
