import type { Location, NodeIdentity } from '@hickorybridge/types';
import { rendezvousOrder } from '@hickorybridge/utils';
import type { NodeIndex } from './NodeIndex.js';

/** Duties that rendezvous hashing gives to two nodes of each failure domain. */
export const RoleName = { reporter: 'reporter', storeWatcher: 'store-watcher' } as const;

export type RoleName = (typeof RoleName)[keyof typeof RoleName];

/** Settings of the assignment of roles. */
export interface RoleAssignmentOptions {
  readonly identity: NodeIdentity;
  readonly location: Location;
  readonly index: NodeIndex;
  /** Tells whether a peer has left this node's calls unanswered for some time. */
  readonly isFailing: (nodeId: string) => boolean;
}

const holdersPerRole = 2;

interface CachedOrder {
  readonly revision: number;
  readonly order: readonly string[];
}

/** Gives the holders of the roles in this node's failure domain, from this node's point of view. */
export class RoleAssignment {
  readonly #options: RoleAssignmentOptions;

  readonly #orders = new Map<RoleName, CachedOrder>();

  constructor(options: RoleAssignmentOptions) {
    this.#options = options;
  }

  /** Lists the holders of a role, the first first; peers that do not answer are passed over. */
  holders(role: RoleName): string[] {
    const { identity, isFailing } = this.#options;
    return this.#order(role)
      .filter((nodeId) => nodeId === identity.nodeId || !isFailing(nodeId))
      .slice(0, holdersPerRole);
  }

  /** Tells whether this node holds a role. */
  holds(role: RoleName): boolean {
    return this.holders(role).includes(this.#options.identity.nodeId);
  }

  /**
   * Lists the peers that heartbeats go to: the first two of the failure domain, even if they do not
   * answer, and those that stand in for them. A cut that only this node sees must not make the true
   * reporters remove it.
   */
  heartbeatTargets(): string[] {
    const nominal = this.#order(RoleName.reporter).slice(0, holdersPerRole);
    const targets = new Set([...nominal, ...this.holders(RoleName.reporter)]);
    targets.delete(this.#options.identity.nodeId);
    return [...targets];
  }

  #order(role: RoleName): readonly string[] {
    const { index, location, identity } = this.#options;
    const cached = this.#orders.get(role);
    if (cached?.revision === index.revision) return cached.order;
    const names = index
      .inFailureDomain(location.failureDomain)
      .filter((record) => !record.leaving)
      .map((record) => record.nodeId);
    const candidates = names.length === 0 ? [identity.nodeId] : names;
    const order = rendezvousOrder(`${role}/${location.failureDomain}`, candidates);
    this.#orders.set(role, { revision: index.revision, order });
    return order;
  }
}
