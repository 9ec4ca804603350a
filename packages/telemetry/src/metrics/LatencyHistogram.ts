import { createHistogram } from '../createHistogram.js';

/** Upper bounds of the buckets, in milliseconds: about two for each doubling where tails are. */
export const bucketBounds: readonly number[] = [
  0.25, 0.5, 1, 2.5, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000,
];

/** Deadlines are at most ten minutes; longer times are recorded as this. */
const maxMicroseconds = 600_000_000;
const microsecondsPerMillisecond = 1_000;

/** Distribution of times. Recording makes no objects. */
export class LatencyHistogram {
  readonly #histogram = createHistogram();

  /** Values up to each bound, not cumulative; the last entry counts those above all bounds. */
  readonly #buckets = new Float64Array(bucketBounds.length + 1);

  #sumMilliseconds = 0;

  get count(): number {
    return this.#histogram.totalCount;
  }

  get sumMilliseconds(): number {
    return this.#sumMilliseconds;
  }

  record(milliseconds: number): void {
    const microseconds = Math.round(milliseconds * microsecondsPerMillisecond);
    this.#histogram.recordValue(Math.min(Math.max(microseconds, 0), maxMicroseconds));
    this.#sumMilliseconds += milliseconds;
    let index = 0;
    while (index < bucketBounds.length && milliseconds > (bucketBounds[index] ?? 0)) index += 1;
    this.#buckets[index] = (this.#buckets[index] ?? 0) + 1;
  }

  /** Gives a quantile in milliseconds; `quantile` is from 0 to 1. */
  quantile(quantile: number): number {
    return this.#histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMillisecond;
  }

  /** Gives for each bound how many values are at most as great, and the count of all at the end. */
  cumulativeCounts(): number[] {
    let sum = 0;
    return Array.from(this.#buckets, (count) => {
      sum += count;
      return sum;
    });
  }
}
