import { holderCount, shardCount } from './claimView.js';
import type { ClaimView, HolderCandidate } from './claimView.js';

/** Times the average number of shards at which a node is overloaded, and a constant on top. */
const overloadFactor = 2;
const overloadAllowance = 1;

/** How many shards each node holds, so that a view made with few nodes spreads to later ones. */
export class HolderLoad {
  readonly #shards = new Map<string, number>();

  readonly #limit: number;

  constructor(view: ClaimView | undefined, liveNodes: number) {
    const average = Math.ceil((shardCount * holderCount) / Math.max(1, liveNodes));
    this.#limit = overloadFactor * average + overloadAllowance;
    for (const { nodeId } of view?.shards.flatMap((entry) => entry.holders) ?? []) {
      this.#shards.set(nodeId, this.#count(nodeId) + 1);
    }
  }

  /** Whether a node holds more than its share, and should give up shards. */
  isOverloaded(node: HolderCandidate): boolean {
    return this.#count(node.nodeId) > this.#limit;
  }

  /** Whether a node holds so many shards that others come first. */
  isFull(node: HolderCandidate): boolean {
    return this.#count(node.nodeId) >= this.#limit;
  }

  #count(nodeId: string): number {
    return this.#shards.get(nodeId) ?? 0;
  }
}
