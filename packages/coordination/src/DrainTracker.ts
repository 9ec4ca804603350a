import type { Clock } from '@hickorybridge/utils';

/** How a drain ended; `remaining` counts the work that was still open at the limit. */
export type DrainOutcome =
  { readonly type: 'drained' } | { readonly type: 'timed-out'; readonly remaining: number };

/** Counts open work and waits for its end, taking no new work meanwhile. */
export class DrainTracker {
  readonly #clock: Pick<Clock, 'sleep'>;

  readonly #emptied = new AbortController();

  #open = 0;

  #draining = false;

  constructor(clock: Pick<Clock, 'sleep'>) {
    this.#clock = clock;
  }

  /** Work that is open now. */
  get open(): number {
    return this.#open;
  }

  /** Whether new work is refused. */
  get draining(): boolean {
    return this.#draining;
  }

  /** Begins work; gives the function that ends it, or `undefined` when new work is refused. */
  tryEnter(): (() => void) | undefined {
    if (this.#draining) return undefined;
    this.#open += 1;
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      this.#open -= 1;
      this.#checkEmptied();
    };
  }

  /** Refuses new work from now on and waits for the open work, at most for a time. */
  async drain(limitMilliseconds: number): Promise<DrainOutcome> {
    this.#draining = true;
    this.#checkEmptied();
    await this.#clock.sleep(limitMilliseconds, this.#emptied.signal);
    if (this.#open === 0) return { type: 'drained' };
    return { type: 'timed-out', remaining: this.#open };
  }

  #checkEmptied(): void {
    if (this.#draining && this.#open === 0) this.#emptied.abort();
  }
}
