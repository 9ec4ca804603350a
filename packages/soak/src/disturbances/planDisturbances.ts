import type { Disturbance } from './Disturbance.js';
import { SeriesPlanner, type PlanOptions } from './SeriesPlanner.js';

/** Nodes have to be in touch before the first disturbance, where the profile has calm phases. */
const firstMilliseconds = { planned: 4500, faults: 4500, overload: 3000, starts: 500 } as const;
const gapMilliseconds = {
  planned: { least: 800, most: 3500 },
  faults: { least: 1500, most: 5000 },
  overload: { least: 1000, most: 4000 },
  starts: { least: 300, most: 1800 },
} as const;

/** Draws series of disturbances that overlap, in order of time. */
export function planDisturbances(options: PlanOptions): Disturbance[] {
  const { profile, random, seconds } = options;
  const series = new SeriesPlanner(options);
  const makers = series.makersOf(profile);
  const { least, most } = gapMilliseconds[profile];
  const plan: Disturbance[] = [];
  let at: number = firstMilliseconds[profile];
  while (at < seconds * 1000) {
    const make = makers[random.integerBelow(makers.length)];
    plan.push(...(make?.(at) ?? []));
    at += least + random.next() * (most - least);
  }
  return plan
    .filter((each) => each.at < seconds * 1000)
    .sort((first, second) => first.at - second.at);
}
