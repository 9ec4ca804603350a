import { Distance, type HostEntry } from '@hickorybridge/types';
import { onTimeProbability, type HostSpeedModel, type RandomSource } from '@hickorybridge/utils';

import type { HostLoad } from './HostLoad.js';

/** A host that can receive a request. */
export interface HostCandidate {
  readonly entry: HostEntry;
  readonly distance: Distance;
  readonly load: HostLoad;
  /** Network round-trip time to the host. */
  readonly roundTripMilliseconds: number;
}

/** Properties of a request that the choice of a host considers. */
export interface HostRequest {
  readonly now: number;
  /** Time until which an answer counts as timely. */
  readonly usefulUntil: number;
  /** Expected work of the route's requests, in milliseconds at the usual speed of the hosts. */
  readonly workMilliseconds: number;
  /** 0 for a caller's request; higher for a call made by a backend server, which has priority. */
  readonly depth?: number;
  /** Model of how the speed of hosts changes. */
  readonly speed: HostSpeedModel;
}

/** Cost of sending a request over a distance, as a fraction of the value of a timely answer. */
const distanceCosts: Readonly<Record<Distance, number>> = {
  [Distance.sameFailureDomain]: 0,
  // Traffic between failure domains is billed.
  [Distance.sameRegion]: 0.06,
  // The link between the regions has little bandwidth and costs several times as much.
  [Distance.otherRegion]: 0.4,
};
/** Cost of a late answer, as a fraction of the value of a timely one. */
const lateCost = 0.75;
/** Weight of the expected duration: prefers the faster of two hosts that are both in time. */
const durationCost = 0.15;
/**
 * Weight of the utilization: prefers the less loaded of two hosts with free slots. This leaves slots
 * free for later requests, and a backend server close to its limit may be slower.
 */
const utilizationCost = 0.12;
/** Maximum random cost added per host, so that nodes do not all choose the same host (herding). */
const maxJitter = 0.03;
/** Bounds the slowness of a host to between `1 / maxSlowness` and `maxSlowness`. */
const maxSlowness = 5;

/** Chooses the host with the lowest cost: lateness, duration, distance, utilization and errors. */
export class HostSelector {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  select(candidates: readonly HostCandidate[], request: HostRequest): HostCandidate | undefined {
    let best: HostCandidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const cost = this.#jitteredCost(candidate, request);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  /** Returns the candidates ordered by cost, the lowest first. */
  rank(candidates: readonly HostCandidate[], request: HostRequest): HostCandidate[] {
    return candidates
      .map((candidate) => ({ candidate, cost: this.#jitteredCost(candidate, request) }))
      .sort((first, second) => first.cost - second.cost)
      .map(({ candidate }) => candidate);
  }

  #jitteredCost(candidate: HostCandidate, request: HostRequest): number {
    return costOf(candidate, request) + this.#random.next() * maxJitter;
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
    lateCost * (1 - onTimeProbability(needed, allowed)) +
    (durationCost * needed) / allowed +
    utilizationCost * load.utilizationAt(now) +
    load.errorRate(now)
  );
}
