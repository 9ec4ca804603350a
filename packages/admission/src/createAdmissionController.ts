import type { AdmissionController } from './AdmissionController.js';
import { AdaptiveAdmissionController, type AdaptiveAdmissionSettings } from './LimitedAdmission.js';

/** Makes the admission side for one backend server. */
export function createAdaptiveAdmissionController(
  settings: AdaptiveAdmissionSettings,
): AdmissionController {
  return new AdaptiveAdmissionController(settings);
}
