/** Share of a new request in the smoothed slowness; requests of one kind differ threefold. */
const smoothing = 0.06;
/** One request that was cut or stuck counts as this at most. */
const maxRatio = 6;
/**
 * Time after which an observed slowness has halved without new requests, in milliseconds: a host that
 * is passed over for it would never show that it has recovered. The same as for observed errors.
 */
const halfLifeMilliseconds = 3000;
/** Requests of the smoothed slowness that unfinished requests are averaged with. */
const stuckPriorSamples = 4;

/**
 * How much slower a backend server is than the others of its service: the work of its requests
 * against what their senders expected of each kind. A mean over all kinds would mostly tell which
 * kinds came last.
 */
export class Slowness {
  #smoothed = 1;

  #recordedAt = 0;

  /** Takes in a finished request. */
  record(work: number, expectedWork: number, now: number): void {
    const ratio = ratioOf(work, expectedWork);
    const before = this.#at(now);
    this.#smoothed = before + smoothing * (ratio - before);
    this.#recordedAt = now;
  }

  /**
   * Gives the slowness, raised by requests that run longer than they would at this slowness, so
   * that a backend server which stops answering shows before its first late answer.
   */
  with(
    running: Iterable<{ readonly work: number; readonly expectedWork: number }>,
    now: number,
  ): number {
    const smoothed = this.#at(now);
    let sum = smoothed * stuckPriorSamples;
    let count = stuckPriorSamples;
    for (const { expectedWork, work } of running) {
      sum += Math.max(smoothed, ratioOf(work, expectedWork));
      count += 1;
    }
    return sum / count;
  }

  #at(now: number): number {
    return 1 + (this.#smoothed - 1) * 2 ** ((this.#recordedAt - now) / halfLifeMilliseconds);
  }
}

function ratioOf(work: number, expectedWork: number): number {
  return Math.min(maxRatio, work / Math.max(1, expectedWork));
}
