import { fail, succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';
import { z } from 'zod';
import type { AcceptedDeployment } from './Deployment.js';

/** Key of the accepted deployment in the store. */
export const deploymentKey = 'deployment/current';

const acceptedDeploymentSchema = z.object({
  number: z.int().min(1),
  applyId: z.string().min(1),
  acceptedAt: z.number(),
  text: z.string(),
  appliedBy: z.string().optional(),
  previousApplyId: z.string().optional(),
});

/** Parses the value of `deployment/current`; the error says what is wrong with it. */
export function parseAcceptedDeployment(value: string): Result<AcceptedDeployment, string> {
  let json: unknown;
  try {
    json = JSON.parse(value);
  } catch {
    return fail(`the object ${deploymentKey} is not JSON`);
  }
  const checked = acceptedDeploymentSchema.safeParse(json);
  if (checked.success) return succeed(checked.data);
  return fail(`the object ${deploymentKey} has no valid ${keysOf(checked.error)}`);
}

/** Formats an accepted deployment as the store keeps it. */
export function formatAcceptedDeployment(accepted: AcceptedDeployment): string {
  return JSON.stringify(accepted);
}

function keysOf(error: z.ZodError): string {
  return error.issues.map((issue) => issue.path.join('.') || 'object').join(', ');
}
