import type { RandomSource } from '@hickorybridge/utils';

import type { Disturbance } from './Disturbance.js';
import { SeriesPlanner } from './SeriesPlanner.js';
import { Profile } from './Profile.js';

/** What a plan is drawn for. */
export interface PlanOptions {
  readonly profile: Profile;
  readonly hosts: number;
  readonly seconds: number;
  readonly random: RandomSource;
}

/** Nodes have to be in touch before the first disturbance, where the profile has calm phases. */
const firstMilliseconds = { planned: 4500, faults: 4500, overload: 3000, starts: 500 } as const;
const gapMilliseconds = {
  planned: { least: 800, most: 3500 },
  faults: { least: 1500, most: 5000 },
  overload: { least: 1000, most: 4000 },
  starts: { least: 300, most: 1800 },
} as const;

/** Draws series of disturbances that overlap, in order of time. */
export function planDisturbances({ hosts, profile, random, seconds }: PlanOptions): Disturbance[] {
  const planner = new SeriesPlanner(hosts, random);
  if (profile === Profile.tenants) return planner.planTenants(seconds * 1000);
  const makers = planner.makersOf(profile);
  const { least, most } = gapMilliseconds[profile];
  const plan: Disturbance[] = [];
  let at: number = firstMilliseconds[profile];
  while (at < seconds * 1000) {
    plan.push(...(makers[random.integerBelow(makers.length)]?.(at) ?? []));
    at += least + random.next() * (most - least);
  }
  return plan
    .filter((each) => each.at < seconds * 1000)
    .sort((first, second) => first.at - second.at);
}
