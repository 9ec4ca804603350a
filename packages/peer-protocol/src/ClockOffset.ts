const windowMilliseconds = 30_000;

/**
 * Translates times of a peer's monotonic clock into the own clock, never later than the truth.
 *
 * A sample is a message that was sent at `sentAt` (own clock) and answered when the peer's clock
 * showed `peerClock`. The answer was made after `sentAt`, so `sentAt - peerClock` is at most the
 * true difference, however long either process or the network paused. The largest of the samples
 * is the best estimate; two windows limit the influence of clock drift.
 */
export class ClockOffset {
  #current = Number.NEGATIVE_INFINITY;

  #previous = Number.NEGATIVE_INFINITY;

  #windowStart: number;

  #roundTrip = Number.POSITIVE_INFINITY;

  constructor(sentAt: number, peerClock: number) {
    this.#windowStart = sentAt;
    this.#current = sentAt - peerClock;
  }

  addSample(sentAt: number, peerClock: number, now: number): void {
    if (now - this.#windowStart > windowMilliseconds) {
      this.#previous = this.#current;
      this.#current = Number.NEGATIVE_INFINITY;
      this.#windowStart = now;
    }
    this.#current = Math.max(this.#current, sentAt - peerClock);
    this.#roundTrip = Math.min(this.#roundTrip, now - sentAt);
  }

  /**
   * Takes in a message that was sent when the peer's clock showed `peerClock` and is read at `now`.
   * The true difference is at most `now - peerClock`. An estimate above that is outdated: the own
   * clock stood still since, which it does while its host is suspended.
   */
  limit(peerClock: number, now: number): void {
    const bound = now - peerClock;
    if (Math.max(this.#current, this.#previous) <= bound) return;
    this.#current = bound;
    this.#previous = Number.NEGATIVE_INFINITY;
  }

  /** Shortest time from a message to its answer, in milliseconds; `undefined` before the first. */
  get roundTripMilliseconds(): number | undefined {
    return Number.isFinite(this.#roundTrip) ? this.#roundTrip : undefined;
  }

  /** Gives the own time at which the peer's clock shows `peerTime`, at the latest. */
  toOwnClock(peerTime: number): number {
    return peerTime + Math.max(this.#current, this.#previous);
  }
}
