import { performance } from 'node:perf_hooks';

/** How many lines of one event may be written. */
export interface LineRate {
  /** Lines that may follow each other at once. */
  readonly burst: number;
  readonly linesPerSecond: number;
}

/** Enough to see what happens, and little where one failure repeats. */
export const defaultLineRate: LineRate = { burst: 10, linesPerSecond: 1 };
/** Bounds the memory when events are named wrongly, with a value in the name. */
const maxEvents = 1_000;

interface Bucket {
  tokens: number;
  updatedAt: number;
  suppressed: number;
}

/** Whether a line may be written, and how many of its event were left out before it. */
export interface LinePermission {
  readonly granted: boolean;
  readonly suppressed: number;
}

/** A token bucket for each event name. */
export class EventRateLimit {
  readonly #buckets = new Map<string, Bucket>();

  readonly #now: () => number;

  readonly #rate: LineRate;

  constructor(now: () => number = () => performance.now(), rate: LineRate = defaultLineRate) {
    this.#now = now;
    this.#rate = rate;
  }

  /** Takes a token of the event. */
  ask(event: string): LinePermission {
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
