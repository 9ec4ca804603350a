import type { Clock } from '@hickorybridge/utils';

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Further tries as a share of first tries, from 0 to 1. */
  readonly share: number;
  /** Further tries in each second that are permitted whatever the number of first tries. */
  readonly minimumPerSecond: number;
  /** Further tries that can be saved up. */
  readonly burst: number;
  /** Further tries that are permitted at once at the start; one second's minimum by default. */
  readonly initial?: number;
  readonly clock: Pick<Clock, 'now'>;
}

/** Limits further tries to a share of the first ones, so that retries cannot amplify an overload. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;

  #tokens: number;

  #filledAt: number;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    // One second's minimum: a process that has just started has earned nothing yet.
    this.#tokens = Math.min(options.burst, options.initial ?? options.minimumPerSecond);
    this.#filledAt = options.clock.now();
  }

  /** Further tries that are permitted now. */
  get available(): number {
    this.#fill();
    return Math.floor(this.#tokens);
  }

  /** Counts the first try of a request. */
  recordFirstAttempt(): void {
    this.#add(this.#options.share);
  }

  /** Takes the permission for one further try; false when there is none. */
  tryAcquireRetry(): boolean {
    this.#fill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Gives a permission back that was not used. */
  returnRetry(): void {
    this.#add(1);
  }

  #fill(): void {
    const now = this.#options.clock.now();
    const elapsedSeconds = Math.max(0, now - this.#filledAt) / 1000;
    this.#filledAt = now;
    this.#add(elapsedSeconds * this.#options.minimumPerSecond);
  }

  #add(tokens: number): void {
    this.#tokens = Math.min(this.#options.burst, this.#tokens + tokens);
  }
}
