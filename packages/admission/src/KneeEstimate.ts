/** Requests whose times are compared. */
const sampleCount = 400;
/** Samples above and below a level that a judgement needs. */
const minimumSamples = 25;
/** Levels right below a knee that those above it are compared with. */
const comparedLevels = 4;
/** The lowest share of the slots that is tried as a knee. */
const lowestShare = 0.6;
/** How much more a lower limit has to serve before it is used. */
const minimumGain = 1.12;
/** A single very late answer counts as this at most. */
const maxRatio = 4;
/** A limit is tried again without a knee after this time, in milliseconds. */
const validMilliseconds = 60_000;
/** Share of a new sample in a kind's usual work. */
const smoothing = 0.05;

interface Sample {
  /** Requests in flight while it ran. */
  readonly level: number;
  /** Its work against the usual work of its kind. */
  readonly ratio: number;
}

/**
 * Finds out whether a backend server becomes so much slower when it is nearly full that it serves
 * more with some slots left empty, and gives the number of requests that it serves best with.
 */
export class KneeEstimate {
  readonly #slots: number;

  readonly #usualWork = new Map<string, number>();

  readonly #samples: Sample[] = [];

  #next = 0;

  #limit: number;

  #limitedAt = 0;

  constructor(slots: number) {
    this.#slots = slots;
    this.#limit = slots;
  }

  /** Requests that may be in flight. */
  limitAt(now: number): number {
    if (this.#limit < this.#slots && now - this.#limitedAt > validMilliseconds) {
      this.#limit = this.#slots;
      this.#samples.length = 0;
      this.#next = 0;
    }
    return this.#limit;
  }

  /** Takes in the work of a finished request, in milliseconds at the usual speed of its host. */
  record(kind: string, work: number, level: number, now: number): void {
    const usual = this.#usualWork.get(kind);
    if (usual === undefined) {
      this.#usualWork.set(kind, work);
      return;
    }
    const ratio = Math.min(maxRatio, work / Math.max(usual, 1));
    if (level <= this.#slots * lowestShare) {
      this.#usualWork.set(kind, usual + smoothing * (work - usual));
    }
    this.#samples[this.#next] = { level, ratio };
    this.#next = (this.#next + 1) % sampleCount;
    if (this.#next % minimumSamples === 0 && this.#limit === this.#slots) this.#judge(now);
  }

  #judge(now: number): void {
    let bestGain = minimumGain;
    const lowest = Math.max(1, Math.ceil(this.#slots * lowestShare));
    for (let level = lowest; level < this.#slots; level += 1) {
      const gain = this.#gainOf(level);
      if (gain > bestGain) {
        bestGain = gain;
        this.#limit = level;
        this.#limitedAt = now;
      }
    }
  }

  /** How much more is served with `level` requests in flight than with all slots in use. */
  #gainOf(level: number): number {
    const above = this.#meanRatio((each) => each > level);
    const below = this.#meanRatio((each) => each <= level && each > level - comparedLevels);
    if (above === undefined || below === undefined) return 0;
    return (above / below) * (level / this.#slots);
  }

  #meanRatio(includes: (level: number) => boolean): number | undefined {
    let sum = 0;
    let count = 0;
    for (const { level, ratio } of this.#samples) {
      if (includes(level)) {
        sum += ratio;
        count += 1;
      }
    }
    return count < minimumSamples ? undefined : sum / count;
  }
}
