import type { StoreWatchers } from '@hickorybridge/membership';
import type { ConnectedPeer } from '@hickorybridge/peer-protocol';
import { Distance } from '@hickorybridge/types';
import type { RandomSource } from '@hickorybridge/utils';

export interface ConfigurationPeerSelectorOptions {
  readonly watchers: StoreWatchers;
  readonly connectedPeers: () => readonly ConnectedPeer[];
  readonly random: RandomSource;
}

/** With 4 announcements from each node, 98 of 100 nodes learn of a version at once. */
const sameRegionAnnouncements = 4;
/** One announcement to another region suffices, since every node sends one. */
const otherRegionAnnouncements = 1;
/** Share of rounds that also ask a random peer, in case all watchers have lost the store. */
const randomPeerShare = 0.25;

/** Chooses the peers with which a node exchanges configurations. */
export class ConfigurationPeerSelector {
  readonly #options: ConfigurationPeerSelectorOptions;

  constructor(options: ConfigurationPeerSelectorOptions) {
    this.#options = options;
  }

  /** Chooses the peers to which a new configuration is announced. */
  chooseAnnouncementPeers(): string[] {
    const peers = this.#options.connectedPeers();
    return [
      ...this.#sample(peers.filter(isInSameRegion), sameRegionAnnouncements),
      ...this.#sample(
        peers.filter((peer) => !isInSameRegion(peer)),
        otherRegionAnnouncements,
      ),
    ];
  }

  /**
   * Chooses the peers that are asked for their versions: a node that watches the store, or any peer
   * if none is connected, and in some rounds a second, random peer.
   */
  chooseAskedPeers(): string[] {
    const { random, watchers } = this.#options;
    const peers = this.#options.connectedPeers();
    const watcherIds = new Set(watchers.others());
    const connectedWatchers = peers.filter(({ nodeId }) => watcherIds.has(nodeId));
    const asked = this.#sample(connectedWatchers.length > 0 ? connectedWatchers : peers, 1);
    if (random.next() < randomPeerShare) asked.push(...this.#sample(peers, 1));
    return asked;
  }

  /** Whether a peer is in another region. */
  isFar(nodeId: string): boolean {
    const peer = this.#options.connectedPeers().find((each) => each.nodeId === nodeId);
    return peer !== undefined && !isInSameRegion(peer);
  }

  #sample(peers: readonly ConnectedPeer[], count: number): string[] {
    const candidates = peers.map(({ nodeId }) => nodeId);
    const sampled: string[] = [];
    while (sampled.length < count && candidates.length > 0) {
      sampled.push(...candidates.splice(this.#options.random.integerBelow(candidates.length), 1));
    }
    return sampled;
  }
}

function isInSameRegion({ distance }: ConnectedPeer): boolean {
  return distance !== Distance.otherRegion;
}
