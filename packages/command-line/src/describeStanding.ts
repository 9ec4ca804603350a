import type { AcceptedDeployment } from '@hickorybridge/configuration';

/** Says which accepted deployment stands and who applied it. */
export function describeStanding(standing: AcceptedDeployment | undefined): string {
  if (standing === undefined) return 'no deployment is accepted';
  const operator = standing.appliedBy === undefined ? '' : ` by ${standing.appliedBy}`;
  const time = new Date(standing.acceptedAt).toISOString();
  return `deployment number ${standing.number} stands, applied${operator} at ${time} (apply ${standing.applyId})`;
}
