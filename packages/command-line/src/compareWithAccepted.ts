import { diffDeployments, parseDeployment } from '@hickorybridge/configuration';
import type {
  AcceptedDeployment,
  Deployment,
  DeploymentChange,
} from '@hickorybridge/configuration';

/** The difference between what is accepted and a file. */
export interface Comparison {
  /** Changes that applying the file would make; empty when only the text differs. */
  readonly changes: readonly DeploymentChange[];
  /** Why no difference can be given. */
  readonly unreadable?: string | undefined;
}

const nothing: Deployment = {
  name: '',
  regions: [],
  services: [],
  routing: {} as Deployment['routing'],
  measuring: {} as Deployment['measuring'],
  idempotency: {} as Deployment['idempotency'],
};

/** Compares an accepted deployment with the one of a file; without one everything is new. */
export function compareWithAccepted(
  accepted: AcceptedDeployment | undefined,
  deployment: Deployment,
): Comparison {
  if (accepted === undefined) return { changes: diffDeployments(nothing, deployment) };
  const parsed = parseDeployment(accepted.text, `deployment ${accepted.number}`);
  if (parsed.ok) return { changes: diffDeployments(parsed.value, deployment) };
  const unreadable = `deployment ${accepted.number} is not valid for this version of the command line: ${parsed.error[0]?.message ?? ''}`;
  return { changes: [], unreadable };
}
