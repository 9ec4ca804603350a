import { fail, type Location, type Result, succeed } from '@hickorybridge/types';
import { rendezvousOrder } from '@hickorybridge/utils';

/** A node that can hold something. */
export interface HolderCandidate extends Location {
  readonly name: string;
}

/** What is to be held, by how many, and who may hold it. */
export interface ChooseHoldersOptions {
  /** Name of the thing that is held; other keys get other holders. */
  readonly key: string;
  readonly candidates: readonly HolderCandidate[];
  readonly count: number;
  /** Present holders; those that are still candidates stay. */
  readonly current?: readonly string[];
}

/** There are not enough failure domains for one holder in each. */
export interface TooFewFailureDomains {
  readonly type: 'too-few-failure-domains';
  readonly needed: number;
  readonly found: number;
}

/**
 * Chooses holders by rendezvous hashing, no two in one failure domain. Whoever holds already stays,
 * so the loss of one node moves only what that node held. All nodes with the same candidates come
 * to the same choice.
 */
export function chooseHolders(
  choice: ChooseHoldersOptions,
): Result<readonly HolderCandidate[], TooFewFailureDomains> {
  const { key, candidates, count, current = [] } = choice;
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
