import { createHistogram } from '../createHistogram.js';

/** Spans after which the threshold is set anew. */
const windowSize = 1_000;
const slowestPercentile = 99;

/** Tells which durations are among the slowest: above the 99th percentile of the last window. */
export class SlowThreshold {
  readonly #histogram = createHistogram();

  #threshold = Number.POSITIVE_INFINITY;

  #greatest = 0;

  /** Records a duration. In the first window only a new greatest one is slow. */
  isSlow(milliseconds: number): boolean {
    const slow = Number.isFinite(this.#threshold)
      ? milliseconds >= this.#threshold
      : milliseconds > this.#greatest;
    this.#greatest = Math.max(this.#greatest, milliseconds);
    this.#histogram.recordValue(Math.max(1, Math.round(milliseconds * 1_000)));
    if (this.#histogram.totalCount >= windowSize) this.#startWindow();
    return slow;
  }

  #startWindow(): void {
    this.#threshold = this.#histogram.getValueAtPercentile(slowestPercentile) / 1_000;
    this.#histogram.reset();
  }
}
