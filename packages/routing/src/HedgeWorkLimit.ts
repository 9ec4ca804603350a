/** Work that may be saved up for a burst of hedges, in multiples of the mean work of a request. */
const burstRequests = 10;
/** Weight of a request in the mean work. */
const meanSmoothing = 0.02;

/**
 * Limits the work of hedges to a share of the work of all requests. Work is counted as the expected
 * milliseconds of a request, so that hedges of an expensive route do not use the share that many
 * cheap requests have earned for as many of their own. Over any time, hedged work is at most the
 * share of the requests' work, plus ten mean requests and one hedge.
 */
export class HedgeWorkLimit {
  #available = 0;

  #meanWork = 0;

  /** Adds the share of a request's work, in milliseconds, to what hedges may use. */
  recordRequest(workMilliseconds: number, share: number): void {
    this.#meanWork +=
      this.#meanWork === 0 ? workMilliseconds : meanSmoothing * (workMilliseconds - this.#meanWork);
    const earned = this.#available + workMilliseconds * share;
    this.#available = Math.min(earned, Math.max(this.#available, this.#capacity));
  }

  /** Whether a hedge of this work is within the limit. A hedge above the capacity needs all of it. */
  allows(workMilliseconds: number): boolean {
    return this.#capacity > 0 && this.#available >= Math.min(workMilliseconds, this.#capacity);
  }

  /** Counts the work of a hedge that is sent. */
  take(workMilliseconds: number): void {
    this.#available -= workMilliseconds;
  }

  get #capacity(): number {
    return burstRequests * this.#meanWork;
  }
}
