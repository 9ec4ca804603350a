import type { HostEntry } from '@hickorybridge/types';

/** Whether a host is in one of the regions; without a list, all regions are allowed. */
export function isInAllowedRegion(
  { location }: Pick<HostEntry, 'location'>,
  allowedRegions: readonly string[] | undefined,
): boolean {
  return allowedRegions === undefined || allowedRegions.includes(location.region);
}
