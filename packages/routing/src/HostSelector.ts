import { Distance, type HostEntry } from '@hickorybridge/types';
import { probabilityWithin, type HostSpeed, type RandomSource } from '@hickorybridge/utils';

import type { HostLoad } from './HostLoad.js';

/** A host that can take a request. */
export interface HostCandidate {
  readonly entry: HostEntry;
  readonly distance: Distance;
  readonly load: HostLoad;
  /** Time to the host and back, in milliseconds. */
  readonly roundTripMilliseconds: number;
}

/** What is asked of a host. */
export interface HostRequest {
  readonly now: number;
  /** Until when an answer is fully useful. */
  readonly usefulUntil: number;
  /** Expected work of the route's requests, in milliseconds at the usual speed. */
  readonly workMilliseconds: number;
  /** 0 for a caller's own request; more for a call, which goes first at a host. */
  readonly depth?: number;
  /** How the speed of hosts changes. */
  readonly speed: HostSpeed;
}

/** What sending one request that far is worth, as a share of a timely answer. */
const distanceCosts: Readonly<Record<Distance, number>> = {
  [Distance.sameFailureDomain]: 0,
  // Bytes between failure domains are paid for.
  [Distance.sameRegion]: 0.06,
  // The link between the regions is narrow and costs several times as much.
  [Distance.otherRegion]: 0.4,
};
/** What a late answer loses against a timely one. */
const lateCost = 0.75;
/** Prefers the sooner of two hosts that are both in time. */
const waitCost = 0.15;
/** Hosts whose costs differ by less are chosen at random, so that nodes do not all follow one report. */
const indifference = 0.03;
const maxHostFactor = 5;

/** Chooses the host where a request costs least: in lateness, distance and errors. */
export class HostSelector {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  select(candidates: readonly HostCandidate[], request: HostRequest): HostCandidate | undefined {
    const usual = usualWork(candidates);
    let best: HostCandidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const jitter = this.#random.next() * indifference;
      const cost = costOf(candidate, request, usual) + jitter;
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }
}

function costOf(candidate: HostCandidate, request: HostRequest, usual: number | undefined): number {
  const { distance, load, roundTripMilliseconds } = candidate;
  const factor = workFactorOf(load, usual);
  const { now, speed } = request;
  const service = load.expectedDuration(request.workMilliseconds * factor, speed, now);
  const needed = roundTripMilliseconds + load.expectedWait(speed, now, request.depth) + service;
  const allowed = Math.max(1, request.usefulUntil - now);
  return (
    distanceCosts[distance] +
    lateCost * (1 - probabilityWithin(needed, allowed)) +
    (waitCost * needed) / allowed +
    load.errorShare(now)
  );
}

/** How much slower a host is than the others of its service. */
function workFactorOf(load: HostLoad, usual: number | undefined): number {
  const own = load.workMilliseconds;
  if (own === undefined || usual === undefined) return 1;
  return Math.min(maxHostFactor, Math.max(1 / maxHostFactor, own / usual));
}

function usualWork(candidates: readonly HostCandidate[]): number | undefined {
  let sum = 0;
  let count = 0;
  for (const { load } of candidates) {
    const time = load.workMilliseconds;
    if (time !== undefined) {
      sum += time;
      count += 1;
    }
  }
  return count === 0 ? undefined : sum / count;
}
