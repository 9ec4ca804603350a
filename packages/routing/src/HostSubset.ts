import { distanceBetween, Distance, type HostEntry, type Location } from '@hickorybridge/types';
import { hashString } from '@hickorybridge/utils';

/** How many hosts of one service are taken. */
export interface SubsetSizes {
  /** Hosts of the own failure domain that are preferred to others of the region. */
  readonly ownFailureDomain: number;
  /** Hosts of the own region, with those of the own failure domain. */
  readonly ownRegion: number;
  readonly otherRegions: number;
}

/** Hosts that a request is offered to; the best of a few is nearly as good as the best of all. */
export const requestSubsetSizes: SubsetSizes = {
  ownFailureDomain: 3,
  ownRegion: 6,
  otherRegions: 3,
};
/** Hosts that connections are kept with: some more, so that others stand in for lost ones. */
export const connectionSizes: SubsetSizes = { ownFailureDomain: 4, ownRegion: 9, otherRegions: 4 };

interface Ordered {
  readonly entries: readonly HostEntry[];
  readonly tiers: Readonly<Record<Distance, readonly HostEntry[]>>;
}

/**
 * Chooses the hosts of each service that one node uses, so that the connections and load updates
 * of a node stay the same in number when the fleet grows. All nodes see the hosts as one ring, and
 * each starts at a place of its own that follows from its rank among the nodes. Rendezvous hashing
 * would give some hosts three times fewer users than others.
 */
export class HostSubset {
  readonly #nodeId: string;

  readonly #location: Location;

  readonly #hosts: () => readonly HostEntry[];

  readonly #ordered = new Map<string, Ordered>();

  /** `hosts` lists those of all services, on each of which a node uses a subset, too. */
  constructor(nodeId: string, location: Location, hosts: () => readonly HostEntry[]) {
    this.#nodeId = nodeId;
    this.#location = location;
    this.#hosts = hosts;
  }

  /** Takes the first hosts of a service that fit; `entries` are all hosts of the service. */
  select(
    service: string,
    entries: readonly HostEntry[],
    sizes: SubsetSizes,
    fits: (entry: HostEntry) => boolean,
  ): HostEntry[] {
    const tiers = this.#tiersOf(service, entries);
    const own = tiers[Distance.sameFailureDomain].filter(fits);
    const region = tiers[Distance.sameRegion].filter(fits);
    const ownCount = Math.max(sizes.ownFailureDomain, sizes.ownRegion - region.length);
    const chosen = own.slice(0, ownCount);
    chosen.push(...region.slice(0, sizes.ownRegion - chosen.length));
    for (const entry of tiers[Distance.otherRegion]) {
      if (chosen.length >= sizes.ownRegion + sizes.otherRegions) break;
      if (fits(entry)) chosen.push(entry);
    }
    return chosen;
  }

  #tiersOf(service: string, entries: readonly HostEntry[]): Ordered['tiers'] {
    const known = this.#ordered.get(service);
    if (known?.entries === entries) return known.tiers;
    const nearHosts = this.#hosts().filter(
      ({ location }) => distanceBetween(this.#location, location) !== Distance.otherRegion,
    );
    const place = this.#placeAmong(nearHosts);
    const placeInDomain = this.#placeAmong(
      nearHosts.filter(
        ({ location }) => distanceBetween(this.#location, location) === Distance.sameFailureDomain,
      ),
    );
    const ring = inRingOrder(entries);
    const at = (distance: Distance) =>
      ring.filter(({ location }) => distanceBetween(this.#location, location) === distance);
    const tiers: Ordered['tiers'] = {
      [Distance.sameFailureDomain]: startingAt(at(Distance.sameFailureDomain), placeInDomain),
      [Distance.sameRegion]: startingAt(at(Distance.sameRegion), place),
      [Distance.otherRegion]: startingAt(at(Distance.otherRegion), place),
    };
    this.#ordered.set(service, { entries, tiers });
    return tiers;
  }

  /** Gives this node's place on the ring of some hosts, from 0 to below 1. */
  #placeAmong(hosts: readonly HostEntry[]): number {
    const rank = inRingOrder(hosts).findIndex(({ nodeId }) => nodeId === this.#nodeId);
    // A node that is not listed yet has a place all the same.
    return rank === -1 ? hashString(this.#nodeId) / 2 ** 32 : rank / hosts.length;
  }
}

function inRingOrder(hosts: readonly HostEntry[]): HostEntry[] {
  return hosts
    .map((host) => ({ host, hash: hashString(host.nodeId) }))
    .sort((first, second) => first.hash - second.hash)
    .map(({ host }) => host);
}

function startingAt(ring: readonly HostEntry[], place: number): HostEntry[] {
  const first = Math.floor(ring.length * place);
  return [...ring.slice(first), ...ring.slice(0, first)];
}
