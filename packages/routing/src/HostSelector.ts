import { Distance, type HostEntry } from '@hickorybridge/types';
import { probabilityWithin, type HostSpeedModel, type RandomSource } from '@hickorybridge/utils';

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
  readonly speed: HostSpeedModel;
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
/**
 * Prefers the emptier of two hosts that are both free: what comes next finds room there, and a
 * backend server that is nearly full may be slower.
 */
const crowdingCost = 0.12;
/** Hosts whose costs differ by less are chosen at random, so that nodes do not all follow one report. */
const indifference = 0.03;
/** Bounds what the slowness of a host counts, in both directions. */
const maxSlowness = 5;

/** Chooses the host where a request costs least: in lateness, distance and errors. */
export class HostSelector {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  select(candidates: readonly HostCandidate[], request: HostRequest): HostCandidate | undefined {
    let best: HostCandidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const jitter = this.#random.next() * indifference;
      const cost = costOf(candidate, request) + jitter;
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }
}

function costOf(candidate: HostCandidate, request: HostRequest): number {
  const { distance, load, roundTripMilliseconds } = candidate;
  const slowness = Math.min(maxSlowness, Math.max(1 / maxSlowness, load.slowness));
  const { now, speed } = request;
  const service = load.expectedDuration(request.workMilliseconds * slowness, speed, now);
  const needed = roundTripMilliseconds + load.expectedWait(speed, now, request.depth) + service;
  const allowed = Math.max(1, request.usefulUntil - now);
  return (
    distanceCosts[distance] +
    lateCost * (1 - probabilityWithin(needed, allowed)) +
    (waitCost * needed) / allowed +
    crowdingCost * load.crowdingAt(now) +
    load.errorShare(now)
  );
}
