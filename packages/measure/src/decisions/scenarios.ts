import type { RandomSource } from '@hickorybridge/utils';
import {
  type ModelDeployment,
  type ModelKind,
  type ModelService,
  REGIONS,
  meanWork,
} from './modelDeployments.js';

/** Names of the load patterns and disturbances. */
export const scenarioNames = [
  'quiet',
  'shifting',
  'straggler',
  'noisy-neighbour',
  'flash-crowd',
] as const;

export type ScenarioName = (typeof scenarioNames)[number];

/** One request, the same for every policy. */
export interface Arrival {
  readonly at: number;
  readonly service: number;
  readonly region: number;
  /** Chooses the router among the nodes of the region, from 0 to 1. */
  readonly routerDraw: number;
  readonly kind: ModelKind;
  /** Work of the request itself, in milliseconds. */
  readonly work: number;
}

/** A change of what a backend server can do. */
export interface Disturbance {
  readonly at: number;
  readonly service: number;
  /** Index of the backend server within its service. */
  readonly server: number;
  /** Factor of its service times. */
  readonly slowness: number;
  /** Share of its slots that it can really use. */
  readonly workerShare: number;
}

/** Everything that happens in one run. */
export interface Scenario {
  readonly arrivals: readonly Arrival[];
  readonly disturbances: readonly Disturbance[];
}

/** Time of a run and of its first part, which is not counted, in milliseconds. */
export const runMilliseconds = 6_000;
export const warmUpMilliseconds = 1_000;
export const serversPerService = 4;
/** Interval in which the rate is constant, in milliseconds. */
const rateStep = 5;
/** Spread (sigma of the logarithm) of the work of requests of one kind. */
const workSpread = 0.35;
const shiftInterval = 400;
const stragglerInterval = 1_500;
const stragglerSlowness = 8;
const noiseInterval = 600;
const noiseWorkerShare = 1 / 3;
const flashStart = 2_000;
const flashEnd = 3_000;

/** Load of each region as a share of the capacity of the whole service. */
type Load = readonly [number, number];

/** Makes the arrivals and disturbances of one scenario from a random source. */
export function makeScenario(
  name: ScenarioName,
  deployment: ModelDeployment,
  random: RandomSource,
): Scenario {
  const arrivals = deployment.services.flatMap((service, index) =>
    makeArrivals(name, deployment, { service, index }, random),
  );
  return {
    arrivals: arrivals.sort((first, second) => first.at - second.at),
    disturbances: deployment.services.flatMap((_, index) => makeDisturbances(name, index, random)),
  };
}

function makeArrivals(
  name: ScenarioName,
  deployment: ModelDeployment,
  { service, index }: { service: ModelService; index: number },
  random: RandomSource,
): Arrival[] {
  const capacity = (serversPerService * deployment.slots) / meanWork(service);
  const arrivals: Arrival[] = [];
  let shifted: Load = [0.25, 0.25];
  for (let time = 0; time < runMilliseconds; time += rateStep) {
    if (time % shiftInterval === 0) shifted = shiftLoad(random);
    const load = loadAt(name, index, time, shifted);
    for (const region of REGIONS.keys()) {
      const rate = capacity * (load[region] ?? 0);
      for (
        let offset = exponential(rate, random);
        offset < rateStep;
        offset += exponential(rate, random)
      ) {
        const kind = chooseKind(service, random);
        const work = kind.work * logNormal(workSpread, random);
        const routerDraw = random.next();
        arrivals.push({ at: time + offset, service: index, region, routerDraw, kind, work });
      }
    }
  }
  return arrivals;
}

/** Most of the load is in one region, and changes from idle to more than that region can take. */
function shiftLoad(random: RandomSource): Load {
  const total = [0.2, 0.6, 0.75][random.integerBelow(3)] ?? 0;
  const hot = 0.9 * total;
  return random.next() < 0.5 ? [hot, total - hot] : [total - hot, hot];
}

function loadAt(name: ScenarioName, service: number, time: number, shifted: Load): Load {
  switch (name) {
    case 'quiet':
      return [0.225, 0.225];
    case 'shifting':
      return shifted;
    case 'flash-crowd':
      return service === 0 && time >= flashStart && time < flashEnd ? [0.75, 0.75] : [0.2, 0.2];
    default:
      return [0.25, 0.25];
  }
}

function makeDisturbances(
  name: ScenarioName,
  service: number,
  random: RandomSource,
): Disturbance[] {
  if (name !== 'straggler' && name !== 'noisy-neighbour') return [];
  const straggler = name === 'straggler';
  const interval = straggler ? stragglerInterval : noiseInterval;
  const bad = straggler
    ? { slowness: stragglerSlowness, workerShare: 1 }
    : { slowness: 1, workerShare: noiseWorkerShare };
  const disturbances: Disturbance[] = [];
  for (let at = warmUpMilliseconds; at < runMilliseconds; at += interval) {
    const server = random.integerBelow(serversPerService);
    disturbances.push({ at, service, server, ...bad });
    disturbances.push({ at: at + interval - 1, service, server, slowness: 1, workerShare: 1 });
  }
  return disturbances;
}

function chooseKind(service: ModelService, random: RandomSource): ModelKind {
  let draw = random.next();
  const found = service.kinds.find((kind) => {
    draw -= kind.share;
    return draw < 0;
  });
  const kind = found ?? service.kinds[0];
  if (kind === undefined) throw new Error(`model service ${service.name} has no kinds`);
  return kind;
}

function exponential(rate: number, random: RandomSource): number {
  return -Math.log(1 - random.next()) / rate;
}

/** Gives a factor with mean 1. */
export function logNormal(spread: number, random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return Math.exp(spread * normal - (spread * spread) / 2);
}
