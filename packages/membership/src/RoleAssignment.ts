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
    const holders: string[] = [];
    for (const nodeId of this.#order(role)) {
      if (holders.length === holdersPerRole) break;
      if (nodeId === identity.nodeId || !isFailing(nodeId)) holders.push(nodeId);
    }
    return holders;
  }

  /** Lists the holders of a role in any failure domain, whether they answer or not. */
  holdersIn(role: RoleName, failureDomain: string): string[] {
    return orderIn(this.#options.index, role, failureDomain).slice(0, holdersPerRole);
  }

  /** Tells whether this node holds a role. */
  holds(role: RoleName): boolean {
    return this.holders(role).includes(this.#options.identity.nodeId);
  }

  /** Tells whether this node is the first holder of a role. */
  holdsFirst(role: RoleName): boolean {
    return this.holders(role)[0] === this.#options.identity.nodeId;
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
    const known = orderIn(index, role, location.failureDomain);
    const order = known.length === 0 ? [identity.nodeId] : known;
    this.#orders.set(role, { revision: index.revision, order });
    return order;
  }
}

function orderIn(index: NodeIndex, role: RoleName, failureDomain: string): string[] {
  const names = index
    .inFailureDomain(failureDomain)
    .filter((record) => !record.leaving)
    .map((record) => record.nodeId);
  return rendezvousOrder(`${role}/${failureDomain}`, names);
}
