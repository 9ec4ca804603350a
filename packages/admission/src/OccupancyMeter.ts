/** Utilization of a backend server over a period. */
export interface OccupancySummary {
  /** Length of the period, in milliseconds. */
  readonly milliseconds: number;
  /** Total time that requests spent in flight, in milliseconds. */
  readonly inFlightMilliseconds: number;
  /** Total time that requests waited for a slot, in milliseconds. */
  readonly waitingMilliseconds: number;
  /** Time during which the limit was reached, in milliseconds. */
  readonly fullMilliseconds: number;
  readonly admitted: number;
  /** Maximum number of requests in flight, at the end of the period. */
  readonly limit: number;
}

/** Requests in flight and waiting, and the limit, at one point in time. */
export interface OccupancySample {
  readonly inFlight: number;
  readonly waiting: number;
  readonly limit: number;
}

/** Accumulates the utilization of a backend server for periodic log lines. */
export class OccupancyMeter {
  #state: OccupancySample;

  #startedAt: number;

  #updatedAt: number;

  #inFlightMilliseconds = 0;

  #waitingMilliseconds = 0;

  #fullMilliseconds = 0;

  #admitted = 0;

  constructor(limit: number, now: number) {
    this.#state = { inFlight: 0, waiting: 0, limit };
    this.#startedAt = now;
    this.#updatedAt = now;
  }

  /** Records a change of the counts or the limit. */
  update(state: OccupancySample, now: number): void {
    this.#advance(now);
    this.#admitted += Math.max(0, state.inFlight - this.#state.inFlight);
    this.#state = state;
  }

  /** Returns the summary of the period since the last call and starts a new period. */
  takeSummary(now: number): OccupancySummary {
    this.#advance(now);
    const summary: OccupancySummary = {
      milliseconds: now - this.#startedAt,
      inFlightMilliseconds: this.#inFlightMilliseconds,
      waitingMilliseconds: this.#waitingMilliseconds,
      fullMilliseconds: this.#fullMilliseconds,
      admitted: this.#admitted,
      limit: this.#state.limit,
    };
    this.#startedAt = now;
    this.#inFlightMilliseconds = 0;
    this.#waitingMilliseconds = 0;
    this.#fullMilliseconds = 0;
    this.#admitted = 0;
    return summary;
  }

  #advance(now: number): void {
    const elapsed = now - this.#updatedAt;
    const { inFlight, limit, waiting } = this.#state;
    this.#updatedAt = now;
    this.#inFlightMilliseconds += elapsed * inFlight;
    this.#waitingMilliseconds += elapsed * waiting;
    if (inFlight >= limit) this.#fullMilliseconds += elapsed;
  }
}
