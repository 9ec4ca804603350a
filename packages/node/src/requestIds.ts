import type { NodeIdentity } from '@hickorybridge/types';

const radix = 36;

/** Gives request identities that are unique among all incarnations of all nodes. */
export function createRequestIds({ nodeId, incarnation }: NodeIdentity): () => string {
  const prefix = `${nodeId}-${incarnation.toString(radix)}-`;
  let count = 0;
  return () => {
    count += 1;
    return prefix + count.toString(radix);
  };
}
