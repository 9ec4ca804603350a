import type { Location, NodeIdentity } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';
import type { NodeIndex } from './NodeIndex.js';

/** Settings of a neighbour set. */
export interface NeighbourSetOptions {
  readonly identity: NodeIdentity;
  readonly location: Location;
  readonly index: NodeIndex;
  readonly clock: Pick<Clock, 'now'>;
  readonly random: RandomSource;
}

/** Bounds the connections that dissemination keeps open, whatever the number of nodes. */
const neighboursInOwnDomain = 8;
const neighboursInOtherDomain = 1;

/** One neighbour is replaced in this time, so that no fixed set can become an island. */
const rotationMilliseconds = 60_000;

/** Fleets up to this size get each change directly from the node that made it. */
const smallFleetNodes = 24;

const ownPushes = 5;
const forwardedPushes = 3;
const forwardedPushesInSmallFleet = 2;

/** Digest exchanges that stay in the own failure domain, where traffic is not billed. */
const ownDomainExchangeShare = 0.8;

/** A small, slowly changing random set of live peers with which this node spreads state. */
export class NeighbourSet {
  readonly #options: NeighbourSetOptions;

  #inOwnDomain: string[] = [];

  #inOtherDomains: string[] = [];

  #revision = -1;

  #rotatedAt: number;

  constructor(options: NeighbourSetOptions) {
    this.#options = options;
    this.#rotatedAt = options.clock.now();
  }

  /** Chooses the peer of the next digest exchange. */
  chooseExchangePeer(): string | undefined {
    this.#refresh();
    const own = this.#options.random.next() < ownDomainExchangeShare;
    const [preferred, other] = own
      ? [this.#inOwnDomain, this.#inOtherDomains]
      : [this.#inOtherDomains, this.#inOwnDomain];
    return this.#pick(preferred, 1)[0] ?? this.#pick(other, 1)[0];
  }

  /** Chooses the peers that hear of a change from this node. */
  choosePushTargets(own: boolean): string[] {
    this.#refresh();
    const { index } = this.#options;
    if (index.size <= smallFleetNodes) {
      const peers = this.#peers();
      return own ? peers : this.#pick(peers, forwardedPushesInSmallFleet);
    }
    const nearby = this.#pick(this.#inOwnDomain, own ? ownPushes : forwardedPushes);
    return [...nearby, ...(own ? this.#inOtherDomains : this.#pick(this.#inOtherDomains, 1))];
  }

  #peers(): string[] {
    const { index, identity } = this.#options;
    return index.all().flatMap(({ nodeId }) => (nodeId === identity.nodeId ? [] : [nodeId]));
  }

  #refresh(): void {
    const { index, clock, location, identity } = this.#options;
    const rotate = clock.now() - this.#rotatedAt > rotationMilliseconds;
    if (!rotate && this.#revision === index.revision) return;
    if (rotate) {
      this.#rotatedAt = clock.now();
      this.#inOwnDomain.shift();
      this.#inOtherDomains.shift();
    }
    this.#revision = index.revision;
    const others: string[] = [];
    for (const failureDomain of index.failureDomains()) {
      const names = index
        .inFailureDomain(failureDomain)
        .flatMap(({ nodeId }) => (nodeId === identity.nodeId ? [] : [nodeId]));
      if (failureDomain === location.failureDomain) {
        this.#inOwnDomain = this.#fill(this.#inOwnDomain, names, neighboursInOwnDomain);
      } else {
        others.push(...this.#fill(this.#inOtherDomains, names, neighboursInOtherDomain));
      }
    }
    this.#inOtherDomains = others;
  }

  /** Keeps the neighbours that are still live and adds random ones up to the count. */
  #fill(current: readonly string[], names: readonly string[], count: number): string[] {
    const live = new Set(names);
    const kept = current.filter((name) => live.has(name)).slice(0, count);
    const rest = names.filter((name) => !kept.includes(name));
    return [...kept, ...this.#pick(rest, count - kept.length)];
  }

  #pick(names: readonly string[], count: number): string[] {
    const rest = [...names];
    const picked: string[] = [];
    while (picked.length < count && rest.length > 0) {
      picked.push(...rest.splice(this.#options.random.integerBelow(rest.length), 1));
    }
    return picked;
  }
}
