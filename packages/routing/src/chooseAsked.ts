import { Distance } from '@hickorybridge/types';

import type { HostCandidate, HostRequest } from './HostSelector.js';

/** A request that takes less than this many round trips is sent without asking. */
const minimumRoundTrips = 10;
/** A load is as good as new for this share of a request's work. */
const freshShare = 0.03;

/**
 * Chooses the hosts that are to tell their load before a request is sent. In a large fleet one node
 * reaches each host so seldom that what came with its answers is long outdated, and nodes that
 * follow old reports fill some hosts while others are idle.
 */
export function selectHostsToProbe(
  candidates: readonly HostCandidate[],
  request: HostRequest,
): HostCandidate[] {
  return candidates.filter(
    (candidate) => isAskable(candidate, request) && !hasFreshReport(candidate, request),
  );
}

/** Whether the host's answer would come soon enough to be worth waiting for. */
function isAskable(
  { distance, roundTripMilliseconds }: HostCandidate,
  { workMilliseconds }: HostRequest,
): boolean {
  return (
    distance !== Distance.otherRegion &&
    roundTripMilliseconds * minimumRoundTrips < workMilliseconds
  );
}

/** Whether the load of a host is known as it is now, or was at `since`. */
export function hasFreshReport(
  { load }: HostCandidate,
  { now, workMilliseconds }: HostRequest,
  since = now,
): boolean {
  return load.ageAt(since) <= workMilliseconds * freshShare;
}
