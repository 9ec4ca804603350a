/** Number of most recent samples that are kept. */
const sampleCount = 400;
/** Samples that are needed on each side of a candidate limit to evaluate it. */
const minimumSamples = 25;
/** Number of concurrency levels up to a candidate limit that are compared with those above. */
const comparedConcurrencies = 4;
/** The lowest candidate limit, as a share of the slots. */
const minimumLimitShare = 0.6;
/** Ratio by which a lower limit has to increase throughput before it is applied. */
const minimumThroughputGain = 1.12;
/** Upper bound of a sample's ratio, so that a single very late answer does not dominate. */
const maxRatio = 4;
/** A reduced limit is removed after this time and has to be found again. */
const limitLifetimeMilliseconds = 60_000;
/** Weight of a new sample in the moving average of a kind's typical work. */
const smoothing = 0.05;

interface Sample {
  /** Requests in flight at its start or end, whichever is higher. */
  readonly concurrency: number;
  /** Ratio of its work to the typical work of its kind. */
  readonly ratio: number;
}

/**
 * Finds the knee of a backend server's throughput curve: the concurrency above which requests slow
 * down so much that throughput is higher with some slots left empty.
 */
export class KneeEstimator {
  readonly #slots: number;

  readonly #typicalWork = new Map<string, number>();

  readonly #samples: Sample[] = [];

  #nextIndex = 0;

  #limit: number;

  #limitedAt = 0;

  constructor(slots: number) {
    this.#slots = slots;
    this.#limit = slots;
  }

  /** Returns the maximum number of requests in flight. */
  limitAt(now: number): number {
    if (this.#limit < this.#slots && now - this.#limitedAt > limitLifetimeMilliseconds) {
      this.#limit = this.#slots;
      this.#samples.length = 0;
      this.#nextIndex = 0;
    }
    return this.#limit;
  }

  /** Records the work of a finished request, in milliseconds at the normal speed of its host. */
  record(kind: string, work: number, concurrency: number, now: number): void {
    const typical = this.#typicalWork.get(kind);
    if (typical === undefined) {
      this.#typicalWork.set(kind, work);
      return;
    }
    const ratio = Math.min(maxRatio, work / Math.max(typical, 1));
    if (concurrency <= this.#slots * minimumLimitShare) {
      this.#typicalWork.set(kind, typical + smoothing * (work - typical));
    }
    this.#samples[this.#nextIndex] = { concurrency, ratio };
    this.#nextIndex = (this.#nextIndex + 1) % sampleCount;
    if (this.#nextIndex % minimumSamples === 0 && this.#limit === this.#slots) this.#evaluate(now);
  }

  #evaluate(now: number): void {
    let bestGain = minimumThroughputGain;
    const lowest = Math.max(1, Math.ceil(this.#slots * minimumLimitShare));
    for (let concurrency = lowest; concurrency < this.#slots; concurrency += 1) {
      const gain = this.#throughputGainAt(concurrency);
      if (gain > bestGain) {
        bestGain = gain;
        this.#limit = concurrency;
        this.#limitedAt = now;
      }
    }
  }

  /** Ratio of the throughput at a concurrency to the throughput with all slots in use. */
  #throughputGainAt(concurrency: number): number {
    const above = this.#meanRatio((each) => each > concurrency);
    const below = this.#meanRatio(
      (each) => each <= concurrency && each > concurrency - comparedConcurrencies,
    );
    if (above === undefined || below === undefined) return 0;
    return (above / below) * (concurrency / this.#slots);
  }

  #meanRatio(includes: (concurrency: number) => boolean): number | undefined {
    let sum = 0;
    let count = 0;
    for (const { concurrency, ratio } of this.#samples) {
      if (includes(concurrency)) {
        sum += ratio;
        count += 1;
      }
    }
    return count < minimumSamples ? undefined : sum / count;
  }
}
