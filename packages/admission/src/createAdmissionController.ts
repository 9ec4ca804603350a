import type { AdmissionController } from './AdmissionController.js';
import { LimitedAdmission, type AdmissionSettings } from './LimitedAdmission.js';

/** Makes the admission side for one backend server. */
export function createAdmissionController(settings: AdmissionSettings): AdmissionController {
  return new LimitedAdmission(settings);
}
