/** Share of a new sample in the smoothed service time. */
const SMOOTHING = 0.2;
/** Share of a new sample in a kind's reference time, which has to outlast a short disturbance. */
const referenceSmoothing = 0.02;

/** Samples of a kind that are averaged into its reference time in any case. */
const firstSamples = 20;
/**
 * Time constant by which older samples lose their weight when new ones are rare, in milliseconds.
 * A backend server that was slow and then got little work recovers with its first fast answers.
 */
const MEMORY = 1_000;

interface KindTimes {
  smoothed: number;
  /** Service time of the kind while the backend server is not saturated. */
  reference: number;
  samples: number;
  lastAt: number;
}

/** Service times of one backend server, as a whole and for each kind, in milliseconds. */
export class ServiceTimes {
  readonly #kinds = new Map<string, KindTimes>();

  #smoothed = 0;

  #samples = 0;

  #lastAt = 0;

  /** Smoothed service time over all kinds; 0 before the first sample. */
  get smoothed(): number {
    return this.#smoothed;
  }

  /** Expected service time of a kind; that of all kinds when there is no sample of it. */
  expectedFor(kind: string): number {
    return this.#kinds.get(kind)?.smoothed ?? this.#smoothed;
  }

  /** Takes in a sample and gives its ratio to the kind's reference time. */
  record(kind: string, milliseconds: number, now: number, updateReference: boolean): number {
    this.#samples += 1;
    this.#smoothed +=
      smoothingShare(this.#samples, now - this.#lastAt) * (milliseconds - this.#smoothed);
    this.#lastAt = now;
    const times = this.#timesOf(kind, milliseconds, now);
    times.samples += 1;
    times.smoothed +=
      smoothingShare(times.samples, now - times.lastAt) * (milliseconds - times.smoothed);
    times.lastAt = now;
    const ratio = milliseconds / times.reference;
    if (updateReference || times.samples <= firstSamples) {
      const share = Math.max(1 / times.samples, referenceSmoothing);
      times.reference += share * (milliseconds - times.reference);
    }
    return ratio;
  }

  /** Multiplies all reference times, after the backend server has become slower or faster. */
  scaleReferences(factor: number): void {
    for (const times of this.#kinds.values()) times.reference *= factor;
  }

  #timesOf(kind: string, milliseconds: number, now: number): KindTimes {
    const known = this.#kinds.get(kind);
    if (known !== undefined) return known;
    const reference = Math.max(milliseconds, Number.MIN_VALUE);
    const times = { smoothed: milliseconds, reference, samples: 0, lastAt: now };
    this.#kinds.set(kind, times);
    return times;
  }
}

/** The first samples are averaged, so that a single early one does not dominate. */
function smoothingShare(samples: number, gap: number): number {
  return Math.max(1 / samples, SMOOTHING, 1 - Math.exp(-gap / MEMORY));
}
