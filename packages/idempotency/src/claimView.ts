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

/** The text of a view: each node once, and the shards' holders as places in that list. */
interface ViewText {
  readonly fencingToken: number;
  readonly nodes: readonly HolderCandidate[];
  readonly shards: readonly ShardText[];
}

/**
 * A shard in the view's text: number, identity, places of the three holders, start of the history
 * and whether it is frozen. The text crosses the link to every other region on each change, so the
 * usual last two, 0 and false, are left out.
 */
type ShardText = readonly [
  number: number,
  id: string,
  holders: readonly number[],
  historyStart?: number,
  frozen?: boolean,
];

/** Writes a view as the store's text; the version is the store's own. */
export function serializeView(view: Omit<ClaimView, 'version'>): string {
  const nodes: HolderCandidate[] = [];
  const placeOf = (holder: HolderCandidate): number => {
    const place = nodes.findIndex((node) => isSameNode(node, holder));
    return place >= 0 ? place : nodes.push(holder) - 1;
  };
  const shards = view.shards.map(({ number, id, holders, historyStart, frozen }): ShardText =>
    historyStart === 0 && !frozen
      ? [number, id, holders.map(placeOf)]
      : [number, id, holders.map(placeOf), historyStart, frozen],
  );
  const text: ViewText = { fencingToken: view.fencingToken, nodes, shards };
  return JSON.stringify(text);
}

/** Reads a view from the store's text. Gives `undefined` for text that is not a view. */
export function parseView(text: string, version: number): ClaimView | undefined {
  try {
    const parsed = JSON.parse(text) as Partial<ViewText> | null;
    if (typeof parsed?.fencingToken !== 'number') return undefined;
    const { fencingToken, nodes, shards: texts } = parsed;
    if (!Array.isArray(nodes) || !Array.isArray(texts)) return undefined;
    if (texts.length !== shardCount) return undefined;
    const shards = texts.map((shardText, shard) => readShard(shardText, shard, nodes));
    if (!shards.every((shard) => shard !== undefined)) return undefined;
    return { version, fencingToken, shards };
  } catch {
    return undefined;
  }
}

function readShard(
  text: ShardText,
  shard: number,
  nodes: readonly HolderCandidate[],
): ShardView | undefined {
  const [number, id, places, historyStart = 0, frozen = false] = text;
  const holders = places.map((place) => nodes[place]);
  if (!holders.every((holder) => holder !== undefined)) return undefined;
  if (!Number.isInteger(number) || typeof id !== 'string') return undefined;
  if (holders.length !== holderCount || typeof historyStart !== 'number') return undefined;
  return { shard, number, id, holders, historyStart, frozen };
}

/** Whether two identities are the same run of the same node. */
export function isSameNode(first: NodeIdentity, second: NodeIdentity): boolean {
  return first.nodeId === second.nodeId && first.incarnation === second.incarnation;
}
