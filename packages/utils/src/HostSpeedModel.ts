/** A host is in a slow period while its work factor is above this. */
const slowPeriodThreshold = 1.5;
/** Length of a slow period assumed until the first one has ended, in milliseconds. */
const initialSlowPeriodMilliseconds = 200;
/** Weight of the latest slow period in the moving average of their length. */
const slowPeriodSmoothing = 0.1;
/** Time constant of the moving average of the work factor, in milliseconds. */
const meanFactorWindowMilliseconds = 10_000;
/** Caps the weight that one interval between observations has in the mean work factor. */
const longestGapMilliseconds = 1000;

/**
 * Models how host speed varies, from the work factors that a backend server reports (1 is the
 * usual speed, greater is slower). Estimates how long slow periods last and the mean work factor,
 * and predicts from these how long work takes.
 */
export class HostSpeedModel {
  #factor = 1;

  #observedAt: number | undefined;

  #slowPeriodStartedAt: number | undefined;

  #slowPeriodMilliseconds = initialSlowPeriodMilliseconds;

  #meanFactor = 1;

  /** Work that one slot can have completed by `#observedAt`, in milliseconds at the usual speed. */
  #completedWork = 0;

  /** Updates the model with the work factor at time `now`. */
  observe(factor: number, now: number): void {
    this.#advance(factor, now);
    if (factor > slowPeriodThreshold) {
      this.#slowPeriodStartedAt ??= now;
    } else if (this.#slowPeriodStartedAt !== undefined) {
      const length = now - this.#slowPeriodStartedAt;
      this.#slowPeriodMilliseconds += slowPeriodSmoothing * (length - this.#slowPeriodMilliseconds);
      this.#slowPeriodStartedAt = undefined;
    }
    this.#factor = factor;
  }

  /** Returns the last factor; `undefined` if there is none or it is older than a mean slow period. */
  workFactorAt(now: number): number | undefined {
    const observedAt = this.#observedAt;
    if (observedAt === undefined || now - observedAt > this.#slowPeriodMilliseconds)
      return undefined;
    return this.#factor;
  }

  /**
   * Returns a cumulative count of the work that one slot completes, in milliseconds at the usual
   * speed. Only the difference between two readings is meaningful.
   */
  completedWorkAt(now: number): number {
    if (this.#observedAt === undefined) return now;
    return this.#completedWork + (now - this.#observedAt) / this.#factor;
  }

  /**
   * Predicts how long work that starts now takes, given a work factor observed `ageMilliseconds`
   * ago. The older the factor, the likelier it is that the slow period has ended and that the mean
   * factor applies.
   */
  expectedDuration(work: number, factor: number | undefined, ageMilliseconds: number): number {
    const meanDuration = work * this.#meanFactor;
    if (factor === undefined) return meanDuration;
    const persistenceProbability = Math.exp(-ageMilliseconds / this.#slowPeriodMilliseconds);
    const current = this.#durationFrom(work, factor);
    return persistenceProbability * current + (1 - persistenceProbability) * meanDuration;
  }

  #durationFrom(work: number, factor: number): number {
    const slowPeriod = this.#slowPeriodMilliseconds;
    const duration = work * factor;
    if (duration <= slowPeriod) return duration;
    return slowPeriod + (work - slowPeriod / factor) * this.#meanFactor;
  }

  #advance(factor: number, now: number): void {
    if (this.#observedAt === undefined) {
      this.#completedWork = now;
    } else {
      const elapsed = now - this.#observedAt;
      // When the factor changed is unknown, so each factor counts for half of the interval.
      this.#completedWork += elapsed / 2 / this.#factor + elapsed / 2 / factor;
      const share =
        1 - Math.exp(-Math.min(elapsed, longestGapMilliseconds) / meanFactorWindowMilliseconds);
      this.#meanFactor += share * (this.#factor - this.#meanFactor);
    }
    this.#observedAt = now;
  }
}
