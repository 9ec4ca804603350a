/** A factor above this counts as a slow spell. */
const slowFactor = 1.5;
/** Assumed before the first slow spell has ended, in milliseconds. */
const initialSpellMilliseconds = 200;
/** Share of a new spell in the mean length of spells. */
const spellSmoothing = 0.1;
/** Time over which the mean factor is averaged, in milliseconds. */
const meanMilliseconds = 10_000;
/** Bounds what one gap between two observations adds. */
const longestGapMilliseconds = 1000;

/**
 * Learns how the speed of the hosts changes, from the factors that a backend server states: how
 * long slow spells last and how slow work is on average. Predicts how long work takes from there.
 */
export class HostSpeedModel {
  #factor = 1;

  #observedAt: number | undefined;

  #spellStartedAt: number | undefined;

  #spellMilliseconds = initialSpellMilliseconds;

  #meanFactor = 1;

  /** Work done in one slot since the start, in milliseconds at the usual speed. */
  #work = 0;

  /** Takes in the factor at this moment. */
  observe(factor: number, now: number): void {
    this.#advance(factor, now);
    if (factor > slowFactor) {
      this.#spellStartedAt ??= now;
    } else if (this.#spellStartedAt !== undefined) {
      const length = now - this.#spellStartedAt;
      this.#spellMilliseconds += spellSmoothing * (length - this.#spellMilliseconds);
      this.#spellStartedAt = undefined;
    }
    this.#factor = factor;
  }

  /** The last factor; `undefined` when none was observed for longer than a spell lasts. */
  factorAt(now: number): number | undefined {
    const observedAt = this.#observedAt;
    if (observedAt === undefined || now - observedAt > this.#spellMilliseconds) return undefined;
    return this.#factor;
  }

  /** Work that one slot has done since the start; the difference of two is that of the time between. */
  completedWorkAt(now: number): number {
    if (this.#observedAt === undefined) return now;
    return this.#work + (now - this.#observedAt) / this.#factor;
  }

  /**
   * Predicts how long work takes that starts now. A slow spell that was seen some time ago may be
   * over; after it, work takes the mean time.
   */
  expectedDuration(work: number, factor: number | undefined, ageMilliseconds: number): number {
    const usual = work * this.#meanFactor;
    if (factor === undefined) return usual;
    const stillHolds = Math.exp(-ageMilliseconds / this.#spellMilliseconds);
    const current = this.#durationFrom(work, factor);
    return stillHolds * current + (1 - stillHolds) * usual;
  }

  #durationFrom(work: number, factor: number): number {
    const spell = this.#spellMilliseconds;
    const duration = work * factor;
    if (duration <= spell) return duration;
    return spell + (work - spell / factor) * this.#meanFactor;
  }

  #advance(factor: number, now: number): void {
    if (this.#observedAt === undefined) {
      this.#work = now;
    } else {
      const elapsed = now - this.#observedAt;
      // The factor has changed at some moment between the two observations.
      this.#work += elapsed / 2 / this.#factor + elapsed / 2 / factor;
      const share = 1 - Math.exp(-Math.min(elapsed, longestGapMilliseconds) / meanMilliseconds);
      this.#meanFactor += share * (this.#factor - this.#meanFactor);
    }
    this.#observedAt = now;
  }
}
