/** Latest samples that the quantile is taken from. */
const SAMPLES = 512;
/** Samples between two computations, which sort all of them. */
const refreshInterval = 32;
/** Samples before there is a value. */
const minimumSamples = 64;

/** Quantile over a sliding window of samples. */
export class QuantileEstimate {
  readonly #quantile: number;

  readonly #samples = new Float64Array(SAMPLES);

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
    this.#samples[this.#count % SAMPLES] = sample;
    this.#count += 1;
    if (this.#count < minimumSamples || this.#count % refreshInterval !== 0) return;
    const sorted = this.#samples.slice(0, Math.min(this.#count, SAMPLES)).sort();
    this.#value = sorted[Math.floor(sorted.length * this.#quantile)];
  }
}
