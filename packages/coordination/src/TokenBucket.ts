import type { Clock } from '@hickorybridge/utils';

/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  readonly tokensPerSecond: number;
  /** Maximum number of tokens in the bucket; it starts full. */
  readonly burst: number;
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
}

/** Rate limiter for calls, messages or bytes. */
export class TokenBucket {
  readonly #options: TokenBucketOptions;

  #tokens: number;

  #refilledAt: number;

  constructor(options: TokenBucketOptions) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#refilledAt = options.clock.now();
  }

  /** Tokens that are available now. */
  get available(): number {
    this.#refill();
    return this.#tokens;
  }

  /** Takes tokens if enough are available, and none otherwise. */
  tryTake(count = 1): boolean {
    this.#refill();
    if (this.#tokens < count) return false;
    this.#tokens -= count;
    return true;
  }

  /**
   * Waits until enough tokens are available and takes them. Returns false if the signal aborts
   * first, or if `count` exceeds the burst, because the bucket never holds that many tokens.
   */
  async take(count = 1, signal?: AbortSignal): Promise<boolean> {
    if (count > this.#options.burst) return false;
    while (!signal?.aborted) {
      if (this.tryTake(count)) return true;
      const missing = count - this.#tokens;
      const wait = (missing / this.#options.tokensPerSecond) * 1000;
      await this.#options.clock.sleep(Math.max(1, Math.ceil(wait)), signal);
    }
    return false;
  }

  #refill(): void {
    const now = this.#options.clock.now();
    const elapsedSeconds = Math.max(0, now - this.#refilledAt) / 1000;
    this.#refilledAt = now;
    this.#tokens = Math.min(
      this.#options.burst,
      this.#tokens + elapsedSeconds * this.#options.tokensPerSecond,
    );
  }
}
