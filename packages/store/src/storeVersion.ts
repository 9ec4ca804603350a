/**
 * Versions and revisions order the changes of a store, also across a restore from an older copy, after
 * which the store assigns the same revisions again. The upper bits hold the era, which increases with
 * each restore, so that any version of a later era is greater.
 */
const revisionsPerEra = 2 ** 36;

/** Combines an era and the revision that the store assigned in it. */
export function composeVersion(era: number, revision: number): number {
  return era * revisionsPerEra + revision;
}

/** The era of a version; 0 if the store does not tell eras. */
export function eraOf(version: number): number {
  return Math.floor(version / revisionsPerEra);
}

/** The revision that the store knows a version by. */
export function revisionOf(version: number): number {
  return version % revisionsPerEra;
}
