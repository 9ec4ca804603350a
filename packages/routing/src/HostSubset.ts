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

const maxCachedHashes = 10_000;

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

  readonly #hashes = new Map<string, number>();

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
    const { ownFailureDomain, ownRegion, otherRegions } = sizes;
    const region = firstEligible(tiers[Distance.sameRegion], ownRegion, isEligible);
    const ownCount = Math.max(ownFailureDomain, ownRegion - region.length);
    const own = firstEligible(tiers[Distance.sameFailureDomain], ownCount, isEligible);
    const near = [...own, ...region.slice(0, Math.max(0, ownRegion - own.length))];
    const farCount = ownRegion + otherRegions - near.length;
    return [...near, ...firstEligible(tiers[Distance.otherRegion], farCount, isEligible)];
  }

  #tiersOf(service: string, entries: readonly HostEntry[]): HostTiers['tiers'] {
    const known = this.#tiersByService.get(service);
    if (known?.entries === entries) return known.tiers;
    const position = this.#ringPosition(Distance.sameRegion);
    const positionInDomain = this.#ringPosition(Distance.sameFailureDomain);
    const ring = this.#inRingOrder(entries);
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

  /**
   * Returns this node's position on the ring of the hosts within a distance, from 0 to below 1: the
   * share of them whose hash is lower.
   */
  #ringPosition(distance: typeof Distance.sameFailureDomain | typeof Distance.sameRegion): number {
    const hosts = this.#hosts().filter(({ location }) => {
      const other = distanceBetween(this.#location, location);
      return other === Distance.sameFailureDomain || other === distance;
    });
    const ownHash = this.#hashOf(this.#nodeId);
    // A node that is not listed yet uses the hash of its ID.
    if (!hosts.some(({ nodeId }) => nodeId === this.#nodeId)) return ownHash / 2 ** 32;
    const rank = hosts.filter(({ nodeId }) => this.#hashOf(nodeId) < ownHash).length;
    return rank / hosts.length;
  }

  #inRingOrder(hosts: readonly HostEntry[]): HostEntry[] {
    return hosts.toSorted(
      (first, second) => this.#hashOf(first.nodeId) - this.#hashOf(second.nodeId),
    );
  }

  #hashOf(nodeId: string): number {
    const known = this.#hashes.get(nodeId);
    if (known !== undefined) return known;
    const hash = hashString(nodeId);
    // Hosts come and go for as long as the process runs.
    if (this.#hashes.size >= maxCachedHashes) this.#hashes.clear();
    this.#hashes.set(nodeId, hash);
    return hash;
  }
}

/** Takes the first eligible hosts; it stops there, so that its cost does not grow with the fleet. */
function firstEligible(
  hosts: readonly HostEntry[],
  count: number,
  isEligible: (entry: HostEntry) => boolean,
): HostEntry[] {
  const eligible: HostEntry[] = [];
  for (const host of hosts) {
    if (eligible.length >= count) break;
    if (isEligible(host)) eligible.push(host);
  }
  return eligible;
}

function rotateRing(ring: readonly HostEntry[], position: number): HostEntry[] {
  const first = Math.floor(ring.length * position);
  return [...ring.slice(first), ...ring.slice(0, first)];
}
