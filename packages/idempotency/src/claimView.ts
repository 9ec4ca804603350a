import type { Location, NodeIdentity } from '@hickorybridge/types';

/** Number of shards into which keys are divided. */
export const shardCount = 64;

/** Number of holders of a shard. */
export const holderCount = 3;

/** Holders that have to grant a claim. */
export const quorumSize = 2;

/**
 * Longest time from the start of a claim to its grant, in milliseconds. Records and the wait after
 * a loss of history last longer than the retention by this time, because a grant is counted at the
 * router and may be that much younger than the record. It also covers clocks whose rates differ.
 */
export const longestClaimMilliseconds = 10_000;

/** Key of the view in the store. */
export const viewStoreKey = 'claims/view';

/** A node that may hold records of a shard. */
export interface HolderCandidate extends NodeIdentity, Location {}

/** Who holds the records of one shard. */
export interface ShardView {
  readonly shard: number;
  /** Rises by one with each change of the shard's holders. */
  readonly number: number;
  /** Unique name of this view. Two keepers that propose the same number use different names. */
  readonly id: string;
  readonly holders: readonly HolderCandidate[];
  /**
   * Wall time from which the records are complete, in milliseconds; 0 when nothing was ever lost.
   * For people only: holders measure the age of their history with the monotonic clock.
   */
  readonly historyStart: number;
  /** Set when two holders are out of reach: holders can no longer confirm this view. */
  readonly frozen: boolean;
}

/** The content of the object `claims/view`. */
export interface ClaimView {
  /** Version of the store's object, which orders views. */
  readonly version: number;
  /** Fencing token of the keeper that wrote the view. */
  readonly fencingToken: number;
  /** One entry for each shard, in order. */
  readonly shards: readonly ShardView[];
}

/** Writes a view as the store's text; the version is the store's own. */
export function serializeView(view: Omit<ClaimView, 'version'>): string {
  return JSON.stringify({ fencingToken: view.fencingToken, shards: view.shards });
}

/** Reads a view from the store's text. Gives `undefined` for text that is not a view. */
export function parseView(text: string, version: number): ClaimView | undefined {
  try {
    const parsed = JSON.parse(text) as Partial<ClaimView> | null;
    if (typeof parsed?.fencingToken !== 'number') return undefined;
    if (!Array.isArray(parsed.shards) || !parsed.shards.every(isShardView)) return undefined;
    if (parsed.shards.length !== shardCount) return undefined;
    return { version, fencingToken: parsed.fencingToken, shards: parsed.shards };
  } catch {
    return undefined;
  }
}

function isShardView(value: unknown, index: number): value is ShardView {
  const view = value as Partial<ShardView> | null;
  return (
    view?.shard === index &&
    Number.isInteger(view.number) &&
    typeof view.id === 'string' &&
    typeof view.frozen === 'boolean' &&
    Array.isArray(view.holders) &&
    view.holders.length === holderCount
  );
}

/** Whether two identities are the same run of the same node. */
export function isSameNode(first: NodeIdentity, second: NodeIdentity): boolean {
  return first.nodeId === second.nodeId && first.incarnation === second.incarnation;
}
