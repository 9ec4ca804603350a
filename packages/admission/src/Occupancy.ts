/** How a backend server was used over a span of time. */
export interface OccupancySummary {
  /** Length of the span, in milliseconds. */
  readonly milliseconds: number;
  /** Time that requests spent in flight, summed over them, in milliseconds. */
  readonly inFlightMilliseconds: number;
  /** Time that requests waited for a slot, summed over them, in milliseconds. */
  readonly waitingMilliseconds: number;
  /** Time during which no further request could start, in milliseconds. */
  readonly fullMilliseconds: number;
  readonly admitted: number;
  /** Requests that may be in flight, at the end of the span. */
  readonly limit: number;
}

/** What an occupancy is made of, at one moment. */
export interface OccupancyState {
  readonly inFlight: number;
  readonly waiting: number;
  readonly limit: number;
}

/** Sums up how a backend server is used, so that a log line a second tells it. */
export class Occupancy {
  #state: OccupancyState;

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

  /** Takes in a change of the state. */
  update(state: OccupancyState, now: number): void {
    this.#advance(now);
    this.#admitted += Math.max(0, state.inFlight - this.#state.inFlight);
    this.#state = state;
  }

  /** Gives the summary since the last one. */
  take(now: number): OccupancySummary {
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
