import { distanceBetween, Distance, type HostEntry, type Location } from '@hickorybridge/types';
import { hashString } from '@hickorybridge/utils';

/** Numbers of hosts of one service in a subset. */
export interface SubsetSizes {
  /** Hosts of the node's failure domain that are preferred to others of its region. */
  readonly ownFailureDomain: number;
  /** Hosts of the node's region, including those of its failure domain. */
  readonly ownRegion: number;
  readonly otherRegions: number;
}

/** Candidates for a request; the best of a few is nearly as good as the best of all. */
export const requestSubsetSizes: SubsetSizes = {
  ownFailureDomain: 3,
  ownRegion: 6,
  otherRegions: 2,
};
/** Hosts that connections are kept to: more than the candidates, as spares for lost hosts. */
export const connectionSubsetSizes: SubsetSizes = {
  ownFailureDomain: 3,
  ownRegion: 7,
  otherRegions: 2,
};

interface HostTiers {
  readonly entries: readonly HostEntry[];
  readonly tiers: Readonly<Record<Distance, readonly HostEntry[]>>;
}

/**
 * Chooses the subset of each service's hosts that one node uses, so that its number of connections
 * and load updates does not grow with the fleet. All nodes order the hosts on the same hash ring,
 * and each node starts at the position given by its rank among the nodes. Rendezvous hashing would
 * assign some hosts to three times fewer nodes than others.
 */
export class HostSubset {
  readonly #nodeId: string;

  readonly #location: Location;

  readonly #hosts: () => readonly HostEntry[];

  readonly #tiersByService = new Map<string, HostTiers>();

  /** `hosts` returns the hosts of all services, which the node's rank is computed from. */
  constructor(nodeId: string, location: Location, hosts: () => readonly HostEntry[]) {
    this.#nodeId = nodeId;
    this.#location = location;
    this.#hosts = hosts;
  }

  /** Selects the first eligible hosts of a service; `entries` are all hosts of the service. */
  select(
    service: string,
    entries: readonly HostEntry[],
    sizes: SubsetSizes,
    isEligible: (entry: HostEntry) => boolean,
  ): HostEntry[] {
    const tiers = this.#tiersOf(service, entries);
    const own = tiers[Distance.sameFailureDomain].filter(isEligible);
    const region = tiers[Distance.sameRegion].filter(isEligible);
    const ownCount = Math.max(sizes.ownFailureDomain, sizes.ownRegion - region.length);
    const chosen = own.slice(0, ownCount);
    chosen.push(...region.slice(0, sizes.ownRegion - chosen.length));
    for (const entry of tiers[Distance.otherRegion]) {
      if (chosen.length >= sizes.ownRegion + sizes.otherRegions) break;
      if (isEligible(entry)) chosen.push(entry);
    }
    return chosen;
  }

  #tiersOf(service: string, entries: readonly HostEntry[]): HostTiers['tiers'] {
    const known = this.#tiersByService.get(service);
    if (known?.entries === entries) return known.tiers;
    const nearHosts = this.#hosts().filter(
      ({ location }) => distanceBetween(this.#location, location) !== Distance.otherRegion,
    );
    const position = this.#ringPosition(nearHosts);
    const positionInDomain = this.#ringPosition(
      nearHosts.filter(
        ({ location }) => distanceBetween(this.#location, location) === Distance.sameFailureDomain,
      ),
    );
    const ring = inRingOrder(entries);
    const atDistance = (distance: Distance) =>
      ring.filter(({ location }) => distanceBetween(this.#location, location) === distance);
    const tiers: HostTiers['tiers'] = {
      [Distance.sameFailureDomain]: rotateRing(
        atDistance(Distance.sameFailureDomain),
        positionInDomain,
      ),
      [Distance.sameRegion]: rotateRing(atDistance(Distance.sameRegion), position),
      [Distance.otherRegion]: rotateRing(atDistance(Distance.otherRegion), position),
    };
    this.#tiersByService.set(service, { entries, tiers });
    return tiers;
  }

  /** Returns this node's position on the ring of the given hosts, from 0 to below 1. */
  #ringPosition(hosts: readonly HostEntry[]): number {
    const rank = inRingOrder(hosts).findIndex(({ nodeId }) => nodeId === this.#nodeId);
    // A node that is not listed yet uses the hash of its ID.
    return rank === -1 ? hashString(this.#nodeId) / 2 ** 32 : rank / hosts.length;
  }
}

function inRingOrder(hosts: readonly HostEntry[]): HostEntry[] {
  return hosts
    .map((host) => ({ host, hash: hashString(host.nodeId) }))
    .sort((first, second) => first.hash - second.hash)
    .map(({ host }) => host);
}

function rotateRing(ring: readonly HostEntry[], position: number): HostEntry[] {
  const first = Math.floor(ring.length * position);
  return [...ring.slice(first), ...ring.slice(0, first)];
}
