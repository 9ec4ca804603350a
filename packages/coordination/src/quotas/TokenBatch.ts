import type { QuotaLimit } from './quotaRates.js';

/** Tokens of one call to a broker. A request that spent one of them refers to its batch. */
export class TokenBatch {
  /** The very object of the tenant's state, which a change of the limit replaces. */
  readonly limit: QuotaLimit;

  readonly #expiresAt: number;

  #count: number;

  /** Takes the limit, the count and the time from which on the tokens are worthless. */
  constructor(limit: QuotaLimit, count: number, expiresAt: number) {
    this.limit = limit;
    this.#count = count;
    this.#expiresAt = expiresAt;
  }

  get count(): number {
    return this.#count;
  }

  isExpired(now: number): boolean {
    return this.#expiresAt <= now;
  }

  take(): void {
    this.#count -= 1;
  }

  /** Puts a token back. */
  restore(): void {
    this.#count += 1;
  }
}
