import type { AdmissionRequest } from './AdmissionController.js';

/** A tenant of priority p gets 1 / (1 + 3p) of the share of one of priority 0. */
const priorityStep = 3;
/** Work with more time than this until its target is charged more. */
const shortTargetMilliseconds = 500;
/**
 * Limits the surcharge. Without one, a tenant that sends a burst with long targets takes half of
 * the slots from a tenant whose work with short targets needs more than that half.
 */
const maxTargetFactor = 3;

/** What a request with the given slot time costs its tenant, in slot milliseconds by weight. */
export function slotCharge(request: AdmissionRequest, milliseconds: number, now: number): number {
  const { deadline, tenantPriority = 0, usefulUntil = deadline } = request;
  const targetFactor = (usefulUntil - now) / shortTargetMilliseconds;
  const boundedFactor = Math.min(maxTargetFactor, Math.max(1, targetFactor));
  return milliseconds * boundedFactor * (1 + priorityStep * tenantPriority);
}
