/* eslint-disable no-bitwise -- hash functions are defined by bit operations. */
const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Hashes a string to 32 bits: FNV-1a over its UTF-16 code units, then the finalizer of MurmurHash3.
 * FNV-1a alone distributes strings that differ only in their last characters poorly.
 */
export function hashString(text: string): number {
  let hash = fnvOffsetBasis;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Orders names by rendezvous hashing for a key, highest score first. */
export function rendezvousOrder(key: string, names: readonly string[]): string[] {
  return names
    .map((name) => ({ name, score: hashString(`${name}\u0000${key}`) }))
    .sort((first, second) => second.score - first.score || (first.name < second.name ? -1 : 1))
    .map((entry) => entry.name);
}
