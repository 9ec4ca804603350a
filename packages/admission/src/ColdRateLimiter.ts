import type { Clock } from '@hickorybridge/utils';

/** Limit on the requests that a cold backend server may get. */
export interface ColdLimit {
  /** Rate that a cold backend server can handle. */
  readonly requestsPerSecond: number;
  /** In any second, `requestsPerSecond * overFactor + slack` requests may arrive. */
  readonly overFactor: number;
  readonly slack: number;
  /** How long a backend server is cold after a start, in milliseconds. */
  readonly startMilliseconds: number;
}

export interface ColdRateLimiterOptions {
  /** The limit in force; `undefined` while there is none. */
  readonly limit: () => ColdLimit | undefined;
  /** Start of the backend server, in monotonic milliseconds. */
  readonly startedAt: number;
  readonly clock: Clock;
}

/**
 * Part of what the limit allows beyond the rate that is used for bursts. The rest covers requests
 * that are delayed between this node and the backend server, and so arrive closer together.
 */
const burstShare = 0.5;
/** Tokens at the beginning of a cold period, since the time before may have been busy. */
const initialTokens = 1;

/** Limits the rate of requests to a backend server while it is cold, with a token bucket. */
export class ColdRateLimiter {
  readonly #options: ColdRateLimiterOptions;

  /** Until when the latest report says that the backend server is cold. */
  #reportedUntil = -Infinity;

  #tokens = 0;

  /** When the tokens were counted; `undefined` while the backend server is not cold. */
  #countedAt: number | undefined;

  constructor(options: ColdRateLimiterOptions) {
    this.#options = options;
  }

  /** Records the remaining cold time of a report, which replaces that of earlier reports. */
  recordReport(coldMilliseconds: number): void {
    this.#reportedUntil = this.#options.clock.now() + coldMilliseconds;
  }

  /** The rate to which requests are limited now; `undefined` if they are not limited. */
  get requestsPerSecond(): number | undefined {
    return this.#activeLimit()?.requestsPerSecond;
  }

  /** Time until this number of requests may have been sent, in milliseconds. */
  waitFor(requests: number): number {
    const limit = this.#count();
    if (limit === undefined) return 0;
    return Math.max(0, ((requests - this.#tokens) * 1000) / limit.requestsPerSecond);
  }

  /** Records that a request is sent now. */
  take(): void {
    if (this.#count() !== undefined) this.#tokens -= 1;
  }

  #activeLimit(): ColdLimit | undefined {
    const { clock, startedAt } = this.#options;
    const limit = this.#options.limit();
    if (limit === undefined) return undefined;
    const now = clock.now();
    const isCold = now < startedAt + limit.startMilliseconds || now < this.#reportedUntil;
    return isCold ? limit : undefined;
  }

  /** Adds the tokens since the last call, and returns the limit in force. */
  #count(): ColdLimit | undefined {
    const limit = this.#activeLimit();
    if (limit === undefined) {
      this.#countedAt = undefined;
      return undefined;
    }
    const now = this.#options.clock.now();
    const { overFactor, requestsPerSecond, slack } = limit;
    const burst = (requestsPerSecond * (overFactor - 1) + slack) * burstShare;
    this.#tokens =
      this.#countedAt === undefined
        ? initialTokens
        : Math.min(
            Math.max(1, burst),
            this.#tokens + ((now - this.#countedAt) * requestsPerSecond) / 1000,
          );
    this.#countedAt = now;
    return limit;
  }
}
