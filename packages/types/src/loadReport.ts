/** Load of a backend server, counted by the admission side of its node. */
export interface LoadReport {
  /** Requests that may be in flight at the same time, at the moment. */
  readonly limit: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Smoothed time that the backend server takes for one request, in milliseconds. */
  readonly serviceMilliseconds: number;
  /** Share of the full limit that a cold backend server has reached, from 0 to 1. */
  readonly rampShare: number;
}
