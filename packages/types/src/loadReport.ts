/** Load of a backend server, counted by the admission side of its node. */
export interface LoadReport {
  /** Requests that may be in flight at the same time, at the moment. */
  readonly limit: number;
  /** Of these, how many only calls of other requests may take; absent when there are none. */
  readonly reserved?: number | undefined;
  readonly inFlight: number;
  readonly queued: number;
  /** Smoothed time that the backend server takes for one request, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Share of the full limit that a cold backend server has reached, from 0 to 1. */
  readonly rampShare: number;
  /** How long work takes on the host at the moment; 1 is usual, absent when it is not known. */
  readonly workFactor?: number | undefined;
  /**
   * Work of requests here as a multiple of what their senders expected from all hosts of the
   * service; absent before the first request.
   */
  readonly slowness?: number | undefined;
  /** With an answer: the time that this request took, as if work had always taken the usual time. */
  readonly workMilliseconds?: number | undefined;
}

/** Load figures that a backend server states with an answer. */
export interface LoadFigures {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on its host at the moment; 1 is usual. */
  readonly workFactor: number;
}
