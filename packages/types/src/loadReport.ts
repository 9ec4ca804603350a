/** Load of a backend server, as measured by admission control on its node. */
export interface LoadReport {
  /** Current limit on concurrent requests. */
  readonly limit: number;
  /** Part of `limit` that is reserved for calls made by other requests; absent if there is none. */
  readonly reserved?: number | undefined;
  readonly inFlight: number;
  readonly queued: number;
  /** Moving average of the backend server's processing time per request, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Share of the full limit that a cold backend server has reached, from 0 to 1. */
  readonly rampShare: number;
  /** Current slowdown of work on the host; 1 is the usual speed, absent if unknown. */
  readonly workFactor?: number | undefined;
  /**
   * Ratio of the measured work of requests here to the work that their senders expected, which
   * they estimate over all hosts of the service; absent before the first request.
   */
  readonly slowness?: number | undefined;
  /** With an answer: the duration of this request, normalised to the usual speed of hosts. */
  readonly workMilliseconds?: number | undefined;
}

/** Load that a backend server reports with an answer. */
export interface LoadFigures {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current slowdown of work on its host; 1 is the usual speed. */
  readonly workFactor: number;
}
