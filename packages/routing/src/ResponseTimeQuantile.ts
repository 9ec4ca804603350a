import type { Clock } from '@hickorybridge/utils';

/** Options of {@link ResponseTimeQuantile}. */
export interface ResponseTimeQuantileOptions {
  /** Between 0 and 1. */
  readonly quantile: number;
  readonly clock: Pick<Clock, 'now'>;
}

/** Ratio of the bounds of one bucket, and thus the relative error of an estimate. */
const bucketRatio = 1.1;
/** The last bucket begins at 1.1^119 ms, about 84 s, beyond every timeout of a route. */
const bucketCount = 120;
const logOfRatio = Math.log(bucketRatio);
/** A window with enough samples ends after this time. An estimate covers up to two windows. */
const windowMilliseconds = 2000;
/** With fewer samples, a quantile of 0.95 would be the largest sample. */
const minimumSamples = 20;
/** A rare route collects samples for this long; older ones would describe another load. */
const maxWindowMilliseconds = 15_000;
/** The buckets are scanned at most this often, so that a request costs no scan. */
const refreshMilliseconds = 100;

/**
 * Estimates a quantile of recent response times. Samples are counted in buckets of logarithmic
 * width, in two windows of which the older one is dropped as a whole. A route with 10 requests per
 * second or more has forgotten a former load after 4 s, and a rise shows as soon as it makes up the
 * tail. Recording is one logarithm and one addition.
 */
export class ResponseTimeQuantile {
  readonly #options: ResponseTimeQuantileOptions;

  #current = new Uint32Array(bucketCount);

  #previous = new Uint32Array(bucketCount);

  #currentCount = 0;

  #previousCount = 0;

  #windowStartedAt: number;

  #refreshedAt = -Infinity;

  #value: number | undefined;

  constructor(options: ResponseTimeQuantileOptions) {
    this.#options = options;
    this.#windowStartedAt = options.clock.now();
  }

  /** Records a response time in milliseconds. */
  record(milliseconds: number): void {
    this.#rotate();
    const bucket = Math.ceil(Math.log(Math.max(1, milliseconds)) / logOfRatio);
    const index = Math.min(bucketCount - 1, bucket);
    this.#current[index] = (this.#current[index] ?? 0) + 1;
    this.#currentCount += 1;
  }

  /** The quantile in milliseconds, rounded up to a bucket; `undefined` with too few samples. */
  get value(): number | undefined {
    const now = this.#options.clock.now();
    if (now - this.#refreshedAt >= refreshMilliseconds) {
      this.#rotate();
      this.#refreshedAt = now;
      this.#value = this.#compute();
    }
    return this.#value;
  }

  #rotate(): void {
    const now = this.#options.clock.now();
    const age = now - this.#windowStartedAt;
    const isFull = age >= windowMilliseconds && this.#currentCount >= minimumSamples;
    if (!isFull && age < maxWindowMilliseconds) return;
    const emptied = this.#previous.fill(0);
    // After a pause of several windows, both are out of date.
    const isOutdated = age >= 2 * maxWindowMilliseconds;
    this.#previous = isOutdated ? this.#current.fill(0) : this.#current;
    this.#previousCount = isOutdated ? 0 : this.#currentCount;
    this.#current = emptied;
    this.#currentCount = 0;
    this.#windowStartedAt = now;
  }

  #compute(): number | undefined {
    const count = this.#currentCount + this.#previousCount;
    if (count < minimumSamples) return undefined;
    const rank = this.#options.quantile * count;
    let below = 0;
    for (let index = 0; index < bucketCount; index += 1) {
      below += (this.#current[index] ?? 0) + (this.#previous[index] ?? 0);
      if (below >= rank) return bucketRatio ** index;
    }
    return bucketRatio ** (bucketCount - 1);
  }
}
