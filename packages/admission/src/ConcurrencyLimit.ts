/** Ratio of the service time to its reference above which saturation is suspected. */
const saturationRatio = 1.4;
/** Factor of one reduction. Its effect has to exceed the variance between two windows. */
const reductionFactor = 0.7;
/** Relative growth of the limit after a window that reached it without signs of saturation. */
const growthFactor = 0.15;
/**
 * Minimum number of completions in a window. With a standard deviation of half the mean, the means
 * of two windows of 30 differ by 13% by chance; a trial has to distinguish 1 from 0.7.
 */
const minimumWindowSamples = 30;
/** Completions in a window, as a multiple of the limit. */
const windowSamplesPerLimit = 3;
/**
 * Time between trial reductions while the limit is constantly reached. They detect reference times
 * that were recorded while the backend server was saturated.
 */
const trialIntervalMilliseconds = 3_000;

/** A reduction whose effect is still being measured. */
interface Trial {
  readonly limitBefore: number;
  readonly ratioBefore: number;
}

/** Sums over the completions of one window. */
interface Window {
  samples: number;
  ratioSum: number;
  /** Whether the number of requests in flight reached the limit. */
  limitReached: boolean;
}

/**
 * Adaptive concurrency limit of one backend server, between 1 and a fixed maximum.
 *
 * Each reduction is a trial. If the service time falls in proportion, the backend server was
 * saturated and the reduction is kept. Otherwise the backend server is slow at any concurrency and
 * a lower limit would only reduce throughput, so the previous limit is restored.
 */
export class ConcurrencyLimit {
  readonly #maximum: number;

  #limit: number;

  #window: Window = emptyWindow();

  #trial: Trial | undefined;

  #lastTrialAt: number;

  /**
   * Whether the last window indicated saturation. Suspected saturation starts a trial only after
   * two such windows in succession: while the queue inside the backend server still grows, a window
   * underestimates the service time, and the trial would be compared with too low a value.
   */
  #saturationSuspected = false;

  /** Completions to skip because their requests were dispatched before the limit changed. */
  #completionsToIgnore = 0;

  constructor(maximum: number, now: number) {
    this.#maximum = maximum;
    this.#limit = maximum;
    this.#lastTrialAt = now;
  }

  get value(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Records the number of requests in flight after a dispatch. */
  recordDispatch(inFlight: number): void {
    if (inFlight >= this.value) this.#window.limitReached = true;
  }

  /**
   * Records the ratio of a service time to its reference. Returns the factor by which the reference
   * times have to be multiplied, or 1 if they remain valid.
   */
  recordCompletion(ratio: number, now: number): number {
    if (this.#completionsToIgnore > 0) {
      this.#completionsToIgnore -= 1;
      return 1;
    }
    this.#window.samples += 1;
    this.#window.ratioSum += ratio;
    const requiredSamples = Math.max(minimumWindowSamples, this.value * windowSamplesPerLimit);
    if (this.#window.samples < requiredSamples) return 1;
    const window = this.#window;
    this.#window = emptyWindow();
    return this.#evaluateWindow(window, now);
  }

  #evaluateWindow(window: Window, now: number): number {
    const ratio = window.ratioSum / window.samples;
    if (this.#trial !== undefined) return this.#concludeTrial(this.#trial, ratio);
    if (!window.limitReached) return 1;
    const suspectedBefore = this.#saturationSuspected;
    this.#saturationSuspected = ratio > saturationRatio;
    if (this.#saturationSuspected && !suspectedBefore) return 1;
    const trialDue = now - this.#lastTrialAt >= trialIntervalMilliseconds;
    if (this.#saturationSuspected || trialDue) {
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
    this.#completionsToIgnore = this.value;
    this.#limit = Math.max(1, this.#limit * reductionFactor);
  }

  #concludeTrial(trial: Trial, ratio: number): number {
    this.#trial = undefined;
    const proportional = trial.ratioBefore * (this.#limit / trial.limitBefore);
    const saturated = ratio < (trial.ratioBefore + proportional) / 2;
    if (saturated) return Math.min(1, ratio);
    this.#completionsToIgnore = this.value;
    this.#limit = trial.limitBefore;
    return Math.max(1, ratio);
  }
}

function emptyWindow(): Window {
  return { samples: 0, ratioSum: 0, limitReached: false };
}
