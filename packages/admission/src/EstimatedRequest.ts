import type { AdmissionRequest } from './AdmissionController.js';

/** A request with its expected duration. */
export interface EstimatedRequest {
  readonly request: AdmissionRequest;
  /** Expected processing time in the backend server, in milliseconds. */
  readonly expectedMilliseconds: number;
}
