import type { AdmissionController } from './AdmissionController.js';
import {
  AdaptiveAdmissionController,
  type AdaptiveAdmissionSettings,
} from './AdaptiveAdmissionController.js';

/** Creates a controller whose limit adapts to the service times of one backend server. */
export function createAdaptiveAdmissionController(
  settings: AdaptiveAdmissionSettings,
): AdmissionController {
  return new AdaptiveAdmissionController(settings);
}
