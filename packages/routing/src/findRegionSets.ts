import type { RouteConfiguration } from '@hickorybridge/types';

/** Regions that requests may be restricted to. */
export type RegionSet = readonly string[];

/**
 * Finds the restrictions to regions that requests for each service may have: those of the routes to
 * it, and what these have in common with those of the tenants. Services without restrictions are
 * omitted, and so are combinations that allow no region.
 */
export function findRegionSets({
  routes,
  tenantsByKey,
}: RouteConfiguration): ReadonlyMap<string, readonly RegionSet[]> {
  const tenantSets = distinct(
    [...(tenantsByKey?.values() ?? [])].map((tenant) => tenant.allowedRegions),
  );
  const setsByService = new Map<string, RegionSet[]>();
  for (const { allowedRegions, isPublic, services } of routes) {
    // Nested calls and callers without a key are restricted by the route only.
    const routeSets = allowedRegions === undefined ? [] : [allowedRegions];
    const commonSets =
      isPublic === true ? [] : tenantSets.map((set) => intersect(set, allowedRegions));
    for (const { service } of services) {
      const known = setsByService.get(service) ?? [];
      const sets = distinct([...known, ...routeSets, ...commonSets]);
      if (sets.length > 0) setsByService.set(service, sets);
    }
  }
  return setsByService;
}

function intersect(set: RegionSet, other: RegionSet | undefined): RegionSet {
  return other === undefined ? set : set.filter((region) => other.includes(region));
}

/** Returns the non-empty sets, each once regardless of the order of its regions. */
function distinct(sets: readonly (RegionSet | undefined)[]): RegionSet[] {
  const byKey = new Map<string, RegionSet>();
  for (const set of sets) {
    if (set !== undefined && set.length > 0) byKey.set([...set].sort().join('\n'), set);
  }
  return [...byKey.values()];
}
