/** Ratio of service time to its reference above which saturation is suspected. */
const saturationRatio = 1.4;
/** Factor of one reduction: large enough that its effect shows through the noise of a window. */
const reductionFactor = 0.7;
/** Growth of the limit after a window in which it was in use and the service time was good. */
const growthFactor = 0.15;
/**
 * Completions in a window at least. With service times that vary by half of their mean, the means
 * of two windows of 30 differ by 13% from chance alone; a trial has to tell 1 from 0.7.
 */
const minimumWindowSamples = 30;
/** Completions in a window, in multiples of the limit. */
const windowSamplesPerPlace = 3;
/**
 * Time between trial reductions while the limit is in constant use, in milliseconds. They find out
 * that a reference time was learnt from a saturated backend server.
 */
const trialInterval = 3_000;

/** A reduction whose effect is not known yet. */
interface Trial {
  readonly limitBefore: number;
  readonly ratioBefore: number;
}

/** Sums over the completions of one window. */
interface Window {
  samples: number;
  ratioSum: number;
  /** Whether all places were taken at some time. */
  used: boolean;
}

/**
 * Concurrency limit of one backend server, between 1 and its slots.
 *
 * Each reduction is a trial. When the service time falls in proportion, the backend server was
 * saturated and the reduction stays. When it does not, the backend server is slow at any
 * concurrency: a smaller limit only costs throughput, so the limit is restored.
 */
export class ConcurrencyLimit {
  readonly #maximum: number;

  #limit: number;

  #window: Window = emptyWindow();

  #trial: Trial | undefined;

  #lastTrialAt: number;

  /**
   * Whether the last window looked saturated. While the queue inside the backend server still
   * grows, a window shows less than the full service time, and a trial would be misjudged.
   */
  #suspected = false;

  /** Completions after a change that belong to requests dispatched before it. */
  #settling = 0;

  constructor(maximum: number, now: number) {
    this.#maximum = maximum;
    this.#limit = maximum;
    this.#lastTrialAt = now;
  }

  get value(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Notes how many requests are in flight after a dispatch. */
  dispatched(inFlight: number): void {
    if (inFlight >= this.value) this.#window.used = true;
  }

  /**
   * Takes in the ratio of a service time to its reference. Gives the factor by which the reference
   * times are to be multiplied, 1 when they hold.
   */
  completed(ratio: number, now: number): number {
    if (this.#settling > 0) {
      this.#settling -= 1;
      return 1;
    }
    this.#window.samples += 1;
    this.#window.ratioSum += ratio;
    const wanted = Math.max(minimumWindowSamples, this.value * windowSamplesPerPlace);
    if (this.#window.samples < wanted) return 1;
    const window = this.#window;
    this.#window = emptyWindow();
    return this.#judge(window, now);
  }

  #judge(window: Window, now: number): number {
    const ratio = window.ratioSum / window.samples;
    if (this.#trial !== undefined) return this.#concludeTrial(this.#trial, ratio);
    if (!window.used) return 1;
    const suspectedBefore = this.#suspected;
    this.#suspected = ratio > saturationRatio;
    if (this.#suspected && !suspectedBefore) return 1;
    const trialDue = now - this.#lastTrialAt >= trialInterval;
    if (this.#suspected || trialDue) {
      this.#startTrial(ratio, now);
    } else {
      this.#limit = Math.min(this.#maximum, this.#limit + Math.max(1, this.#limit * growthFactor));
    }
    return 1;
  }

  #startTrial(ratio: number, now: number): void {
    this.#lastTrialAt = now;
    if (this.value <= 1) return;
    this.#trial = { limitBefore: this.#limit, ratioBefore: ratio };
    this.#settling = this.value;
    this.#limit = Math.max(1, this.#limit * reductionFactor);
  }

  #concludeTrial(trial: Trial, ratio: number): number {
    this.#trial = undefined;
    const proportional = trial.ratioBefore * (this.#limit / trial.limitBefore);
    const saturated = ratio < (trial.ratioBefore + proportional) / 2;
    if (saturated) return Math.min(1, ratio);
    this.#settling = this.value;
    this.#limit = trial.limitBefore;
    return Math.max(1, ratio);
  }
}

function emptyWindow(): Window {
  return { samples: 0, ratioSum: 0, used: false };
}
