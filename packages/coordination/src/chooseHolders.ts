import { fail, type Location, type Result, succeed } from '@hickorybridge/types';
import { rendezvousOrder } from '@hickorybridge/utils';

/** A node that can hold a replica. */
export interface HolderCandidate extends Location {
  readonly name: string;
}

/** Options of {@link chooseHolders}. */
export interface ChooseHoldersOptions {
  /** Key of the replicated item; holders are chosen independently for each key. */
  readonly key: string;
  readonly candidates: readonly HolderCandidate[];
  /** Number of holders to choose. */
  readonly count: number;
  /** Current holders; those that are still candidates are preferred. */
  readonly current?: readonly string[];
}

/** The candidates span fewer failure domains than holders are needed. */
export interface TooFewFailureDomains {
  readonly type: 'too-few-failure-domains';
  readonly needed: number;
  readonly found: number;
}

/**
 * Chooses holders by rendezvous hashing, each in a different failure domain. Current holders are
 * kept, so the loss of a node moves only the items that it held. The result is deterministic: all
 * nodes with the same input choose the same holders.
 */
export function chooseHolders(
  options: ChooseHoldersOptions,
): Result<readonly HolderCandidate[], TooFewFailureDomains> {
  const { key, candidates, count, current = [] } = options;
  const byName = new Map(candidates.map((candidate) => [candidate.name, candidate]));
  const order = rendezvousOrder(key, [...byName.keys()]);
  const names = [...current.filter((name) => byName.has(name)), ...order];
  const chosen = new Map<string, HolderCandidate>();
  for (const name of names) {
    const candidate = byName.get(name);
    if (candidate === undefined || chosen.size >= count) continue;
    if (!chosen.has(candidate.failureDomain)) chosen.set(candidate.failureDomain, candidate);
  }
  if (chosen.size < count) {
    return fail({ type: 'too-few-failure-domains', needed: count, found: chosen.size });
  }
  return succeed([...chosen.values()]);
}
