/** Ratio of service time to its reference above which saturation is suspected. */
const SATURATION_RATIO = 1.4;
/** Factor of one reduction: large enough that its effect shows through the noise of a window. */
const REDUCTION_FACTOR = 0.7;
/** Growth of the limit after a window in which it was in use and the service time was good. */
const GROWTH_FACTOR = 0.15;
/** Completions in a window at least; fewer make the mean ratio too noisy. */
const MINIMUM_WINDOW_SAMPLES = 12;
/** Completions in a window, in multiples of the limit. */
const WINDOW_SAMPLES_PER_PLACE = 2;
/**
 * Time between trial reductions while the limit is in constant use, in milliseconds. They find out
 * that a reference time was learnt from a saturated backend server.
 */
const TRIAL_INTERVAL = 2_000;

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

  /** The window after a change still holds requests dispatched before it, and is not judged. */
  #settling = false;

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
    this.#window.samples += 1;
    this.#window.ratioSum += ratio;
    const wanted = Math.max(MINIMUM_WINDOW_SAMPLES, this.value * WINDOW_SAMPLES_PER_PLACE);
    if (this.#window.samples < wanted) return 1;
    const window = this.#window;
    this.#window = emptyWindow();
    if (this.#settling) {
      this.#settling = false;
      return 1;
    }
    return this.#judge(window, now);
  }

  #judge(window: Window, now: number): number {
    const ratio = window.ratioSum / window.samples;
    if (this.#trial !== undefined) return this.#concludeTrial(this.#trial, ratio);
    if (!window.used) return 1;
    const trialDue = now - this.#lastTrialAt >= TRIAL_INTERVAL;
    if (ratio > SATURATION_RATIO || trialDue) {
      this.#startTrial(ratio, now);
    } else {
      this.#limit = Math.min(this.#maximum, this.#limit + Math.max(1, this.#limit * GROWTH_FACTOR));
    }
    return 1;
  }

  #startTrial(ratio: number, now: number): void {
    this.#lastTrialAt = now;
    if (this.value <= 1) return;
    this.#trial = { limitBefore: this.#limit, ratioBefore: ratio };
    this.#limit = Math.max(1, this.#limit * REDUCTION_FACTOR);
    this.#settling = true;
  }

  #concludeTrial(trial: Trial, ratio: number): number {
    this.#trial = undefined;
    const proportional = trial.ratioBefore * (this.#limit / trial.limitBefore);
    const saturated = ratio < (trial.ratioBefore + proportional) / 2;
    if (saturated) return Math.min(1, ratio);
    this.#limit = trial.limitBefore;
    this.#settling = true;
    return Math.max(1, ratio);
  }
}

function emptyWindow(): Window {
  return { samples: 0, ratioSum: 0, used: false };
}
