import { performance } from 'node:perf_hooks';

/** Rate limit for the log lines of one event. */
export interface LineRate {
  /** Lines that may be written at once. */
  readonly burst: number;
  readonly linesPerSecond: number;
}

/** Shows what happens without flooding the log when one failure repeats. */
export const defaultLineRate: LineRate = { burst: 10, linesPerSecond: 1 };
/** Bounds memory use if event names contain variable values by mistake. */
const maxEvents = 1_000;

interface Bucket {
  tokens: number;
  updatedAt: number;
  suppressed: number;
}

/** Whether a line may be written, and how many lines of its event were dropped since the last. */
export interface RateLimitDecision {
  readonly granted: boolean;
  readonly suppressed: number;
}

/** Rate limiter with one token bucket per event name. */
export class EventRateLimiter {
  readonly #buckets = new Map<string, Bucket>();

  readonly #now: () => number;

  readonly #rate: LineRate;

  constructor(now: () => number = () => performance.now(), rate: LineRate = defaultLineRate) {
    this.#now = now;
    this.#rate = rate;
  }

  /** Takes a token for the event if one is available; otherwise counts the line as dropped. */
  tryAcquire(event: string): RateLimitDecision {
    const bucket = this.#refill(event);
    if (bucket.tokens < 1) {
      bucket.suppressed += 1;
      return { granted: false, suppressed: bucket.suppressed };
    }
    bucket.tokens -= 1;
    const { suppressed } = bucket;
    bucket.suppressed = 0;
    return { granted: true, suppressed };
  }

  #refill(event: string): Bucket {
    const now = this.#now();
    const known = this.#buckets.get(event);
    if (known === undefined) {
      if (this.#buckets.size >= maxEvents) this.#buckets.clear();
      const bucket = { tokens: this.#rate.burst, updatedAt: now, suppressed: 0 };
      this.#buckets.set(event, bucket);
      return bucket;
    }
    const seconds = (now - known.updatedAt) / 1_000;
    known.tokens = Math.min(this.#rate.burst, known.tokens + seconds * this.#rate.linesPerSecond);
    known.updatedAt = now;
    return known;
  }
}
