import { PolicyName } from './Deployment.js';
import type { Deployment } from './Deployment.js';

/** Holders of a claim; each is in a failure domain of its own. */
const claimHolders = 3;

/** Lists what is permitted in a deployment but rarely meant, one sentence each. */
export function deploymentWarnings(deployment: Deployment): string[] {
  const { regions, routing, services } = deployment;
  const warnings: string[] = [];
  const domains = regions.reduce((sum, region) => sum + region.failureDomains.length, 0);
  const kinds = services.flatMap((service) => service.kinds);
  if (kinds.some((kind) => !kind.idempotent) && domains < claimHolders) {
    warnings.push(
      `there are kinds that are not idempotent but only ${domains} failure domains: requests with an idempotency key need ${claimHolders} and will be answered "unknown"`,
    );
  }
  if (routing.policy !== PolicyName.adaptive) {
    warnings.push(
      `routing.policy "${routing.policy}" is a baseline for measurements; "adaptive" is meant for service`,
    );
  }
  if (routing.maxAttempts === 1 && (routing.retryShare > 0 || routing.hedgeShare > 0)) {
    warnings.push(
      'routing.maxAttempts is 1, so routing.retryShare and routing.hedgeShare have no effect',
    );
  }
  return warnings;
}
