/** Number of samples in the sliding window. */
const windowSize = 512;
/** Number of samples between two computations; each computation sorts the whole window. */
const refreshInterval = 32;
/** Number of samples required for an estimate. */
const minimumSamples = 64;

/** Estimates a quantile over a sliding window of samples. */
export class QuantileEstimate {
  readonly #quantile: number;

  readonly #samples = new Float64Array(windowSize);

  #count = 0;

  #value: number | undefined;

  constructor(quantile: number) {
    this.#quantile = quantile;
  }

  /** The quantile at the last computation; `undefined` while there are too few samples. */
  get value(): number | undefined {
    return this.#value;
  }

  record(sample: number): void {
    this.#samples[this.#count % windowSize] = sample;
    this.#count += 1;
    if (this.#count < minimumSamples || this.#count % refreshInterval !== 0) return;
    const sorted = this.#samples.slice(0, Math.min(this.#count, windowSize)).sort();
    this.#value = sorted[Math.floor(sorted.length * this.#quantile)];
  }
}
