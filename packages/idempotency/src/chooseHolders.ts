import { rendezvousOrder } from '@hickorybridge/utils';

import type { HolderLoad } from './HolderLoad.js';
import { holderCount } from './claimView.js';
import type { HolderCandidate } from './claimView.js';

/**
 * Chooses three different nodes for a shard, in three failure domains when there are as many, and
 * otherwise spread as far as possible. Nodes in `kept` stay. The order of preference comes from
 * rendezvous hashing, so a change of the live nodes moves few shards; nodes with many shards come
 * last. Gives `undefined` with fewer than three nodes.
 */
export function chooseHolders(
  shard: number,
  live: readonly HolderCandidate[],
  kept: readonly HolderCandidate[] = [],
  load?: HolderLoad,
): readonly HolderCandidate[] | undefined {
  const chosen = [...kept];
  const ordered = [...orderByPreference(shard, live)];
  if (load !== undefined) {
    ordered.sort((first, second) => Number(load.isFull(first)) - Number(load.isFull(second)));
  }
  while (chosen.length < holderCount) {
    const next = chooseNext(ordered, chosen);
    if (next === undefined) return undefined;
    chosen.push(next);
  }
  return chosen;
}

/** Counts the failure domains of some nodes. */
export function countFailureDomains(nodes: readonly HolderCandidate[]): number {
  return new Set(nodes.map(domainOf)).size;
}

function orderByPreference(
  shard: number,
  live: readonly HolderCandidate[],
): readonly HolderCandidate[] {
  const byId = new Map(live.map((node) => [node.nodeId, node]));
  return rendezvousOrder(`claims/${shard}`, [...byId.keys()]).flatMap((id) => byId.get(id) ?? []);
}

function chooseNext(
  ordered: readonly HolderCandidate[],
  chosen: readonly HolderCandidate[],
): HolderCandidate | undefined {
  const free = ordered.filter((node) => chosen.every((other) => other.nodeId !== node.nodeId));
  const usedDomains = chosen.map(domainOf);
  const isUnused = (node: HolderCandidate): boolean => !usedDomains.includes(domainOf(node));
  return free.find(isUnused) ?? free.find((node) => isLeastUsed(node, free, usedDomains));
}

function isLeastUsed(
  node: HolderCandidate,
  free: readonly HolderCandidate[],
  usedDomains: readonly string[],
): boolean {
  const uses = (other: HolderCandidate): number =>
    usedDomains.filter((domain) => domain === domainOf(other)).length;
  return free.every((other) => uses(node) <= uses(other));
}

function domainOf(node: HolderCandidate): string {
  return `${node.region}\u0000${node.failureDomain}`;
}
