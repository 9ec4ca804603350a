/** Weight of a new sample; low because the work of requests of one kind varies threefold. */
const smoothing = 0.06;
/** Upper bound of a sample's ratio, so that one aborted or stuck request does not dominate. */
const maxRatio = 6;
/**
 * Time in which the excess slowness halves without new samples. Without this decay, a host that
 * gets no requests because it is slow could not show that it has recovered. Matches the half-life
 * of observed errors.
 */
const halfLifeMilliseconds = 3000;
/** Weight of the smoothed slowness when averaged with requests in flight, in requests. */
const priorSampleCount = 4;

/**
 * Estimates how much slower a backend server is than the others of its service, from the ratio of
 * each request's work to the work that its sender expected for the kind. An average of the work
 * over all kinds would mostly reflect which kinds arrived last.
 */
export class SlownessEstimator {
  #smoothed = 1;

  #recordedAt = 0;

  /** Records a finished request. */
  record(work: number, expectedWork: number, now: number): void {
    const ratio = ratioOf(work, expectedWork);
    const before = this.#smoothedAt(now);
    this.#smoothed = before + smoothing * (ratio - before);
    this.#recordedAt = now;
  }

  /**
   * Returns the slowness, raised by requests in flight that run longer than it predicts, so that a
   * backend server that stops answering is detected before its first late answer.
   */
  estimate(
    running: Iterable<{ readonly work: number; readonly expectedWork: number }>,
    now: number,
  ): number {
    const smoothed = this.#smoothedAt(now);
    let sum = smoothed * priorSampleCount;
    let count = priorSampleCount;
    for (const { expectedWork, work } of running) {
      sum += Math.max(smoothed, ratioOf(work, expectedWork));
      count += 1;
    }
    return sum / count;
  }

  #smoothedAt(now: number): number {
    return 1 + (this.#smoothed - 1) * 2 ** ((this.#recordedAt - now) / halfLifeMilliseconds);
  }
}

function ratioOf(work: number, expectedWork: number): number {
  return Math.min(maxRatio, work / Math.max(1, expectedWork));
}
