/** Minimum weight of a new sample in the smoothed service time. */
const smoothing = 0.2;
/** Minimum weight of a new sample in a kind's reference time; low, to outlast brief slowdowns. */
const referenceSmoothing = 0.02;

/** Samples of a kind that update its reference time even if the backend server is saturated. */
const initialSampleCount = 20;
/**
 * Time constant of the decay of older samples when new ones are rare. The estimate of a backend
 * server that was slow and then received little work recovers with its first fast answers.
 */
const sampleTimeConstantMilliseconds = 1_000;

interface KindTimes {
  smoothed: number;
  /** Service time of the kind while the backend server is not saturated. */
  reference: number;
  samples: number;
  lastAt: number;
}

/** Smoothed service times of one backend server, overall and by kind, in milliseconds. */
export class ServiceTimes {
  readonly #kinds = new Map<string, KindTimes>();

  #smoothed = 0;

  #samples = 0;

  #lastAt = 0;

  /** Smoothed service time over all kinds; 0 before the first sample. */
  get smoothed(): number {
    return this.#smoothed;
  }

  /** Expected service time of a kind; the time over all kinds if the kind has no samples. */
  expectedFor(kind: string): number {
    return this.#kinds.get(kind)?.smoothed ?? this.#smoothed;
  }

  /** Records a sample and returns its ratio to the kind's reference time. */
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
    if (updateReference || times.samples <= initialSampleCount) {
      const share = Math.max(1 / times.samples, referenceSmoothing);
      times.reference += share * (milliseconds - times.reference);
    }
    return ratio;
  }

  /** Scales all reference times after the backend server has become slower or faster. */
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

/** Weighs the first samples equally, so that a single early one does not dominate. */
function smoothingShare(samples: number, gap: number): number {
  return Math.max(1 / samples, smoothing, 1 - Math.exp(-gap / sampleTimeConstantMilliseconds));
}
