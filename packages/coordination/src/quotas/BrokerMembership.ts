import type { Clock } from '@hickorybridge/utils';

import type { BrokerHost } from './chooseBrokers.js';

/** Options of {@link BrokerMembership}. */
export interface BrokerMembershipOptions {
  readonly nodeId: string;
  readonly clock: Pick<Clock, 'now'>;
}

/** The brokers of the present list of hosts, and what became of the others. */
export interface BrokerList {
  readonly brokers: readonly BrokerHost[];
  /** Whether the host of an earlier broker is still listed, or was seen to leave as planned. */
  readonly hasStepped: (nodeId: string) => boolean;
  /** Whether the host of this node is listed, as a broker or not. */
  readonly includesOwnHost: boolean;
}

/** A new broker waits this long, in which the lists of the others show it. */
export const joinMilliseconds = 3000;
/**
 * A host that is not a broker any more stops when its own list says so. Watches of the list are
 * renewed every 15 s.
 */
export const steppedHoldMilliseconds = 30_000;
/**
 * A host that is not listed any more may be cut off from the list and still act for the nodes on
 * its side of the cut.
 */
export const vanishedHoldMilliseconds = 600_000;

interface Member extends BrokerHost {
  /** Since when it is listed. */
  readonly listedAt: number;
  /** Until when its share stays reserved; infinite while it is listed. */
  reservedUntil: number;
}

/**
 * Keeps the brokers among which a limit is divided: those that are listed and, for some time, those
 * that were, because they may still act on an earlier list. Tells whether this node is a broker.
 */
export class BrokerMembership {
  readonly #options: BrokerMembershipOptions;

  readonly #members = new Map<string, Member>();

  #listed: readonly BrokerHost[] = [];

  #listedSince: number | undefined;

  #hasList = false;

  #reserved: readonly BrokerHost[] | undefined;

  #changesAt = Infinity;

  #version = 0;

  constructor(options: BrokerMembershipOptions) {
    this.#options = options;
  }

  /** Applies the present list. */
  update({ brokers, hasStepped, includesOwnHost }: BrokerList): void {
    const now = this.#options.clock.now();
    // A node that finds its host in the first list was restarted. The others have had that list for
    // some time, and refusing all requests until the wait is over would only prolong an outage.
    const isRestart = !this.#hasList && includesOwnHost;
    this.#hasList = true;
    const joinedAt = isRestart ? now - joinMilliseconds : now;
    const listed = new Set(brokers.map(({ nodeId }) => nodeId));
    for (const broker of brokers) {
      const known = this.#members.get(broker.nodeId);
      const listedAt = known?.reservedUntil === Infinity ? known.listedAt : joinedAt;
      this.#members.set(broker.nodeId, { ...broker, listedAt, reservedUntil: Infinity });
    }
    for (const [nodeId, member] of this.#members) {
      if (listed.has(nodeId) || member.reservedUntil < Infinity) continue;
      if (!hasStepped(nodeId)) member.reservedUntil = now + vanishedHoldMilliseconds;
      // While many hosts start, most brokers are replaced before they grant anything.
      else if (now - member.listedAt < joinMilliseconds) this.#members.delete(nodeId);
      else member.reservedUntil = now + steppedHoldMilliseconds;
    }
    this.#listed = brokers;
    if (!listed.has(this.#options.nodeId)) this.#listedSince = undefined;
    else this.#listedSince ??= joinedAt;
    this.#change();
  }

  /** Number that changes with the reserved brokers. */
  get version(): number {
    this.#expire();
    return this.#version;
  }

  /** The brokers that are listed. */
  get listed(): readonly BrokerHost[] {
    return this.#listed;
  }

  /** All brokers that have a share, those included that are not listed any more. */
  get reserved(): readonly BrokerHost[] {
    this.#expire();
    this.#reserved ??= [...this.#members.values()].map(({ nodeId, region }) => ({
      nodeId,
      region,
    }));
    return this.#reserved;
  }

  /** Since when this node grants tokens; `undefined` if it does not. */
  get activeSince(): number | undefined {
    if (this.#listedSince === undefined) return undefined;
    const since = this.#listedSince + joinMilliseconds;
    return since <= this.#options.clock.now() ? since : undefined;
  }

  #expire(): void {
    const now = this.#options.clock.now();
    if (now < this.#changesAt) return;
    for (const [nodeId, { reservedUntil }] of this.#members) {
      if (reservedUntil <= now) this.#members.delete(nodeId);
    }
    this.#change();
  }

  #change(): void {
    const ends = [...this.#members.values()].map(({ reservedUntil }) => reservedUntil);
    this.#changesAt = Math.min(Infinity, ...ends);
    this.#reserved = undefined;
    this.#version += 1;
  }
}
