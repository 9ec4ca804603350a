import type { Clock } from '@hickorybridge/utils';

/** Rate and burst of a token bucket. */
export interface TokenBucketOptions {
  readonly tokensPerSecond: number;
  /** Tokens that the bucket holds at most; it starts full. */
  readonly burst: number;
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
}

/** Hard limit on a rate: calls, messages or bytes. */
export class TokenBucket {
  readonly #options: TokenBucketOptions;

  #tokens: number;

  #filledAt: number;

  constructor(options: TokenBucketOptions) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#filledAt = options.clock.now();
  }

  /** Gives the tokens that are there now. */
  get available(): number {
    this.#fill();
    return this.#tokens;
  }

  /** Takes tokens if there are enough; takes none otherwise. */
  tryTake(count = 1): boolean {
    this.#fill();
    if (this.#tokens < count) return false;
    this.#tokens -= count;
    return true;
  }

  /**
   * Waits until there are enough tokens and takes them. Gives false when the signal aborts first,
   * or when `count` exceeds the burst, since that many tokens never come together.
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

  #fill(): void {
    const now = this.#options.clock.now();
    const elapsedSeconds = Math.max(0, now - this.#filledAt) / 1000;
    this.#filledAt = now;
    this.#tokens = Math.min(
      this.#options.burst,
      this.#tokens + elapsedSeconds * this.#options.tokensPerSecond,
    );
  }
}
