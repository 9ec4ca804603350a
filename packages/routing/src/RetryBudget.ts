import type { Clock } from '@hickorybridge/utils';

/** Settings of a budget for further tries. */
export interface RetryBudgetOptions {
  /** Tokens earned by each first try. */
  readonly share: number;
  /** Tokens earned each second, so that a quiet service can retry at all. */
  readonly perSecond: number;
  /** Tokens that can be saved up. */
  readonly maximum: number;
  readonly clock: Clock;
}

/** Tokens for further tries; one budget for each service of a node. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;

  #tokens: number;

  #filledAt: number;

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#tokens = Math.min(options.maximum, options.perSecond);
    this.#filledAt = options.clock.now();
  }

  /** Earns the share of a first try. */
  firstTry(): void {
    this.#fill();
    this.#tokens = Math.min(this.#options.maximum, this.#tokens + this.#options.share);
  }

  /** Takes a token for a further try. Gives `false` when there is none. */
  take(): boolean {
    this.#fill();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Gives a token back that was not used. */
  giveBack(): void {
    this.#tokens = Math.min(this.#options.maximum, this.#tokens + 1);
  }

  #fill(): void {
    const now = this.#options.clock.now();
    const earned = ((now - this.#filledAt) / 1_000) * this.#options.perSecond;
    this.#tokens = Math.min(this.#options.maximum, this.#tokens + earned);
    this.#filledAt = now;
  }
}

/** Tokens a second for a quiet service (design page, section 4). */
const RETRIES_PER_SECOND = 10;
/** Bounds the burst of further tries when many requests fail at once. */
const MAXIMUM_RETRY_TOKENS = 100;

/** Makes the retry budget of one service of a node. */
export function createRetryBudget(retryShare: number, clock: Clock): RetryBudget {
  const maximum = MAXIMUM_RETRY_TOKENS;
  return new RetryBudget({ share: retryShare, perSecond: RETRIES_PER_SECOND, maximum, clock });
}
