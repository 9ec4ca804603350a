import type { StoreWatchers } from '@hickorybridge/membership';
import type { ConnectedPeer } from '@hickorybridge/peer-protocol';
import { Distance } from '@hickorybridge/types';
import type { RandomSource } from '@hickorybridge/utils';

/** What the choice of peers for configurations needs. */
export interface ConfigurationPeerSelectorOptions {
  readonly watchers: StoreWatchers;
  readonly connectedPeers: () => readonly ConnectedPeer[];
  readonly random: RandomSource;
}

/** With four announcements from each node, 98 in 100 nodes hear of a version at once. */
const sameRegionAnnouncements = 4;
/** One to another region suffices, since every node sends one. */
const otherRegionAnnouncements = 1;
/** Share of the rounds in which any peer is asked, too, in case all watchers have lost the store. */
const randomPeerShare = 0.25;

/** Chooses the peers that configurations are exchanged with. */
export class ConfigurationPeerSelector {
  readonly #options: ConfigurationPeerSelectorOptions;

  constructor(options: ConfigurationPeerSelectorOptions) {
    this.#options = options;
  }

  /** Chooses the peers that are told of a new configuration. */
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

  /** Chooses the peers that are asked for their versions: a watcher, and at times any other. */
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
