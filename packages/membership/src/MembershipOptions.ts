import type { Logger } from '@hickorybridge/logger';
import type { PlatformStore } from '@hickorybridge/store';
import type {
  Announcement,
  ControlChannel,
  Location,
  NodeIdentity,
  SocketAddress,
} from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';

/** A change of a backend server that has announced itself to this node. */
export interface LocalChange {
  readonly type: 'announced' | 'withdrawn' | 'removed' | 'lapsed';
  readonly announcement: Announcement;
}

/** Settings and surroundings of the membership. */
export interface MembershipOptions {
  readonly identity: NodeIdentity;
  readonly location: Location;
  readonly peerAddress: SocketAddress;
  readonly operatorsAddress: SocketAddress;
  readonly store: PlatformStore;
  readonly channel: ControlChannel;
  /** Peers to ask first. This node's own address among them does no harm. */
  readonly seeds: readonly SocketAddress[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Prefixes of the store's objects that are spread to all nodes for other components. */
  readonly sharedPrefixes?: readonly string[];
  /** Size of a control message in bytes, for the totals; by default the length of its JSON. */
  readonly sizeOf?: (body: unknown) => number;
}
