import { Distance } from '@hickorybridge/types';

import type { HostCandidate, HostRequest } from './HostSelector.js';

/** Requests whose work is shorter than this many round trips are sent without probing. */
const minimumWorkRoundTrips = 10;
/** Maximum age of a fresh load report, as a share of the request's work. */
const maxReportAgeShare = 0.03;

/**
 * Selects the hosts whose load is probed before a request is sent. In a large fleet a node reaches
 * each host so rarely that the reports received with answers are outdated, and nodes that rely on
 * outdated reports overload some hosts while others are idle.
 */
export function selectHostsToProbe(
  candidates: readonly HostCandidate[],
  request: HostRequest,
): HostCandidate[] {
  return candidates.filter(
    (candidate) => isWorthProbing(candidate, request) && !hasFreshReport(candidate, request),
  );
}

/** Whether a probe's round trip is short enough compared with the work of the request. */
function isWorthProbing(
  { distance, roundTripMilliseconds }: HostCandidate,
  { workMilliseconds }: HostRequest,
): boolean {
  return (
    distance !== Distance.otherRegion &&
    roundTripMilliseconds * minimumWorkRoundTrips < workMilliseconds
  );
}

/** Whether a host's last load report is fresh now, or was fresh at `since`. */
export function hasFreshReport(
  { load }: HostCandidate,
  { now, workMilliseconds }: HostRequest,
  since = now,
): boolean {
  return load.reportAgeAt(since) <= workMilliseconds * maxReportAgeShare;
}
