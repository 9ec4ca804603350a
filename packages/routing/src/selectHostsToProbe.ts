import { Distance } from '@hickorybridge/types';

import type { HostCandidate, HostRequest } from './HostSelector.js';
import { waitProbability } from './waitProbability.js';

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
  if (!needsProbes(candidates, request.now)) return [];
  return candidates.filter(
    (candidate) => isWorthProbing(candidate, request) && !hasFreshReport(candidate, request),
  );
}

/** Reports of the last seconds show how busy the hosts of a service are on average. */
const maxReportAgeForMeanMilliseconds = 2000;
/** Fewer recent reports tell too little about the other hosts. */
const minimumRecentReports = 3;
/** Requests are sent without probes while at most this share of them would have to wait. */
const maxWaitProbability = 0.03;

/**
 * Whether probes can change the choice: while most slots of the hosts are free, nearly every host
 * can take a request at once, and a probe only costs time.
 */
export function needsProbes(candidates: readonly HostCandidate[], now: number): boolean {
  const reports = candidates
    .map(({ load }) => load.recentReport(now, maxReportAgeForMeanMilliseconds))
    .filter((report) => report !== undefined);
  if (reports.length < Math.min(minimumRecentReports, candidates.length)) return true;
  const slots = reports.reduce((sum, { limit }) => sum + limit, 0);
  const busy = reports.reduce((sum, { inFlight, queued }) => sum + inFlight + queued, 0);
  if (slots === 0) return true;
  const slotsOfHost = Math.max(1, Math.round(slots / reports.length));
  return waitProbability(slotsOfHost, busy / slots) > maxWaitProbability;
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
