import type { HostDirectory } from '@hickorybridge/membership';
import {
  areManyHostsBusy,
  canTakeHedge,
  hasHedgeReport,
  HedgeEvent,
  requestSubsetSizes,
  selectHedgePlaces,
  selectHostsToProbe,
  HostLoad,
  hasFreshReport,
  isInAllowedRegion,
  type HostCandidate,
  type HostRequest,
  type HostSelector,
  type HostSubset,
  type RouteWorkEstimator,
} from '@hickorybridge/routing';
import {
  Distance,
  distanceBetween,
  type HostEntry,
  type LoadReport,
  type Location,
} from '@hickorybridge/types';
import type { Clock, HostSpeedModel } from '@hickorybridge/utils';

import type { CallerRequest } from './CallerRequest.js';
import type { LoadProber } from './LoadProber.js';

export interface HostChoiceOptions {
  readonly nodeId: string;
  readonly location: Location;
  readonly directory: HostDirectory;
  readonly subset: HostSubset;
  readonly selector: HostSelector;
  readonly loadProber: LoadProber;
  readonly routeWorkEstimator: RouteWorkEstimator;
  /** How the speed of hosts changes over time, as observed on this host. */
  readonly speed: HostSpeedModel;
  /** Whether a node is connected, so that a request can be sent to it immediately. */
  readonly isReachable: (nodeId: string) => boolean;
  /** Whether no request may reach the backend servers of a failure domain. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** Current load of the backend server of this host. */
  readonly localLoad: () => LoadReport | undefined;
  readonly roundTripTo: (nodeId: string) => number | undefined;
  readonly clock: Clock;
}

// Used until the first heartbeat is answered. The high value for another region favours hosts whose
// round trip is known.
const assumedRoundTripMilliseconds: Readonly<Record<Distance, number>> = {
  [Distance.sameFailureDomain]: 1,
  [Distance.sameRegion]: 3,
  [Distance.otherRegion]: 80,
};

/**
 * Hosts whose load is probed for one request. The best of three is nearly as good as the best of
 * all, and each probe wakes two processes.
 */
const maxProbedHosts = 3;

/** The properties of a request that restrict which hosts may get it. */
type RestrictedRequest = Pick<CallerRequest, 'allowedRegions' | 'service'>;

/** The host of a hedge, or why there is none. */
export type HedgeChoice =
  | { readonly type: 'host'; readonly candidate: HostCandidate }
  | { readonly type: 'none'; readonly reason: HedgeEvent };

/** Chooses hosts for requests and tracks the known load of each host. */
export class HostChoice {
  readonly #options: HostChoiceOptions;

  readonly #loads = new Map<string, HostLoad>();

  constructor(options: HostChoiceOptions) {
    this.#options = options;
  }

  loadOf(nodeId: string): HostLoad {
    const known = this.#loads.get(nodeId);
    if (known !== undefined) return known;
    const load = new HostLoad();
    this.#loads.set(nodeId, load);
    return load;
  }

  /** Removes the loads of hosts that the directory no longer lists. */
  removeUnlistedHosts(): void {
    for (const nodeId of this.#loads.keys()) {
      if (this.#options.directory.entry(nodeId) === undefined) this.#loads.delete(nodeId);
    }
  }

  /** Chooses a host by its load, after probing the candidates whose load is outdated. */
  async choose(
    request: CallerRequest,
    excluded: ReadonlySet<string>,
  ): Promise<HostCandidate | undefined> {
    const { clock, loadProber, selector } = this.#options;
    const startedAt = clock.now();
    const candidates = this.#usableCandidates(request, excluded);
    const candidatesToProbe = this.#selectHostsToProbe(request, candidates);
    if (candidatesToProbe.length === 0) {
      return selector.select(candidates, this.#hostRequest(request));
    }
    const probed = await loadProber.probe(candidatesToProbe.map(({ entry }) => entry.nodeId));
    const hostRequest = this.#hostRequest(request);
    const usable = candidates.filter(
      ({ entry }) =>
        this.#isUsable(entry) && !this.#options.isEvacuated(entry.location.failureDomain),
    );
    const hasAnswered = (candidate: HostCandidate) =>
      hasFreshReport(candidate, hostRequest, startedAt);
    if (!usable.some(hasAnswered)) return selector.select(usable, hostRequest);
    // Hosts that did not answer are skipped, since without a report their load looks average.
    const known = usable.filter(
      (candidate) => hasAnswered(candidate) || !probed.has(candidate.entry.nodeId),
    );
    return selector.select(known, hostRequest);
  }

  /** Like `choose`, but returns a host only if the request would not have to wait there. */
  async chooseFree(
    request: CallerRequest,
    excluded: ReadonlySet<string>,
  ): Promise<HostCandidate | undefined> {
    const { clock, speed } = this.#options;
    const candidate = await this.choose(request, excluded);
    const wait = candidate?.load.expectedWait(speed, clock.now(), request.depth);
    return wait === 0 ? candidate : undefined;
  }

  /**
   * Chooses a host for a hedge: one that other requests may use, too, and that is known to have a
   * free slot and its usual speed.
   */
  async chooseForHedge(
    request: CallerRequest,
    excluded: ReadonlySet<string>,
    first: HostCandidate,
  ): Promise<HedgeChoice> {
    const { clock, loadProber, selector } = this.#options;
    const usable = this.#usableCandidates(request, excluded);
    if (areManyHostsBusy(usable, clock.now())) return { type: 'none', reason: HedgeEvent.busy };
    const ranked = selector
      .rank(selectHedgePlaces(usable, first), this.#hostRequest(request))
      .slice(0, maxProbedHosts);
    const outdated = ranked.filter((candidate) => !hasHedgeReport(candidate, clock.now()));
    if (outdated.length > 0) await loadProber.probe(outdated.map(({ entry }) => entry.nodeId));
    const hostRequest = this.#hostRequest(request);
    const eligible = ranked.filter(
      (candidate) => this.#isUsable(candidate.entry) && canTakeHedge(candidate, hostRequest),
    );
    const candidate = selector.select(eligible, hostRequest);
    return candidate === undefined
      ? { type: 'none', reason: HedgeEvent.noHost }
      : { type: 'host', candidate };
  }

  /** Selects the most promising of the hosts whose load is worth a probe. */
  #selectHostsToProbe(
    request: CallerRequest,
    candidates: readonly HostCandidate[],
  ): HostCandidate[] {
    const hostRequest = this.#hostRequest(request);
    const worthProbing = selectHostsToProbe(candidates, hostRequest);
    if (worthProbing.length <= maxProbedHosts) return worthProbing;
    return this.#options.selector.rank(worthProbing, hostRequest).slice(0, maxProbedHosts);
  }

  #hostRequest({ depth, route, usefulUntil }: CallerRequest): HostRequest {
    const { clock, routeWorkEstimator, speed } = this.#options;
    const workMilliseconds = routeWorkEstimator.expectedWork(route.name, route.targetMilliseconds);
    return { now: clock.now(), depth, usefulUntil, speed, workMilliseconds };
  }

  #usableCandidates(request: CallerRequest, excluded: ReadonlySet<string>): HostCandidate[] {
    return this.#candidates(
      request,
      (entry) => !excluded.has(entry.nodeId) && this.#isUsable(entry),
    );
  }

  #isUsable({ leaving, nodeId }: HostEntry): boolean {
    const { clock, isReachable } = this.#options;
    return !leaving && isReachable(nodeId) && !this.loadOf(nodeId).isAvoided(clock.now());
  }

  /** Predicts the shortest queueing time among the hosts that may get the request, in milliseconds. */
  shortestWait(request: RestrictedRequest): number {
    const { clock, speed } = this.#options;
    const now = clock.now();
    const isReachable = (entry: HostEntry) =>
      !entry.leaving && this.#options.isReachable(entry.nodeId);
    const waits = this.#candidates(request, isReachable).map(({ load }) =>
      load.expectedWait(speed, now),
    );
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  #candidates(
    { allowedRegions, service }: RestrictedRequest,
    isUsable: (entry: HostEntry) => boolean,
  ): HostCandidate[] {
    const { directory, isEvacuated, subset } = this.#options;
    const isEligible = (entry: HostEntry) =>
      isInAllowedRegion(entry, allowedRegions) &&
      !isEvacuated(entry.location.failureDomain) &&
      isUsable(entry);
    return subset
      .select(service, directory.ofService(service), requestSubsetSizes, isEligible)
      .map((entry) => this.#candidate(entry));
  }

  #candidate(entry: HostEntry): HostCandidate {
    const { clock, location, nodeId, localLoad, roundTripTo } = this.#options;
    const own = entry.nodeId === nodeId;
    const load = this.loadOf(entry.nodeId);
    const report = own ? localLoad() : undefined;
    if (report !== undefined) load.recordReport(report, clock.now());
    const distance = distanceBetween(location, entry.location);
    return {
      entry,
      distance,
      load,
      roundTripMilliseconds: own
        ? 0
        : (roundTripTo(entry.nodeId) ?? assumedRoundTripMilliseconds[distance]),
    };
  }
}
