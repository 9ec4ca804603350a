/** Kinds of runs. */
export const Profile = {
  planned: 'planned',
  faults: 'faults',
  overload: 'overload',
  starts: 'starts',
  tenants: 'tenants',
} as const;

export type Profile = (typeof Profile)[keyof typeof Profile];
