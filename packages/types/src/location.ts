/** Placement of a host. */
export interface Location {
  readonly region: string;
  readonly failureDomain: string;
}

/** Topological distance between two hosts, nearest first. */
export const Distance = { sameFailureDomain: 0, sameRegion: 1, otherRegion: 2 } as const;

export type Distance = (typeof Distance)[keyof typeof Distance];

/** Returns the topological distance between two locations. */
export function distanceBetween(first: Location, second: Location): Distance {
  if (first.region !== second.region) return Distance.otherRegion;
  if (first.failureDomain !== second.failureDomain) return Distance.sameRegion;
  return Distance.sameFailureDomain;
}
