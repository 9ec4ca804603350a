import type { Clock } from '@hickorybridge/utils';

import type { RetryAllowance } from './RetryAllowance.js';

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries permitted as a share of first attempts, from 0 to 1. */
  readonly share: number;
  /** Retries permitted per second regardless of the number of first attempts. */
  readonly minimumPerSecond: number;
  /** Maximum number of unused retries that accumulate. */
  readonly burst: number;
  /** Retries available at the start; defaults to `minimumPerSecond`, at most `burst`. */
  readonly initial?: number;
  readonly clock: Pick<Clock, 'now'>;
}

/** Limits retries to a share of first attempts, so that retries can't amplify an overload. */
export class RetryBudget implements RetryAllowance {
  readonly #options: RetryBudgetOptions;

  #tokens: number;

  #refilledAt: number;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    // A new process has no first attempts to count, so it starts with the minimum for one second.
    this.#tokens = Math.min(options.burst, options.initial ?? options.minimumPerSecond);
    this.#refilledAt = options.clock.now();
  }

  /** Number of retries permitted now. */
  get available(): number {
    this.#refill();
    return Math.max(0, Math.floor(this.#tokens));
  }

  /** Counts the first attempt of a request, which adds `share` retries to the budget. */
  recordFirstAttempt(): void {
    this.#add(this.#options.share);
  }

  /** Takes one retry from the budget; returns false if the budget is exhausted. */
  tryAcquireRetry(): boolean {
    this.#refill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  recordRetry(): void {
    this.#refill();
    this.#tokens = Math.max(-this.#options.burst, this.#tokens - 1);
  }

  /** Returns an unused retry to the budget. */
  returnRetry(): void {
    this.#add(1);
  }

  #refill(): void {
    const now = this.#options.clock.now();
    const elapsedSeconds = Math.max(0, now - this.#refilledAt) / 1000;
    this.#refilledAt = now;
    this.#add(elapsedSeconds * this.#options.minimumPerSecond);
  }

  #add(tokens: number): void {
    this.#tokens = Math.min(this.#options.burst, this.#tokens + tokens);
  }
}
