import { Distance } from '@hickorybridge/types';

import type { HostCandidate, HostRequest } from './HostSelector.js';

/**
 * Slots that may be in use after a hedge has arrived, as a share. Backend servers become slower
 * above this share, and a hedge must not cause that.
 */
const maxUtilization = 0.8;
/** With nine slots a host, a third of the hosts are above that share at a mean usage of about 70%. */
const maxBusyHostShare = 1 / 3;
/** Older reports do not count when the busy hosts are counted. */
const maxReportAgeForBusyMilliseconds = 2000;
/** Slow periods last about 150 ms; a host is known to be fast for a small part of that. */
const maxReportAgeMilliseconds = 50;
/** A host above this work factor is in a slow period, as in `HostSpeedModel`. */
const maxWorkFactor = 1.5;
/** A host whose work takes this multiple of the usual time is slow for another reason. */
const maxSlowness = 1.5;

/** Whether so many hosts are busy that the service has no room for extra work. */
export function areManyHostsBusy(candidates: readonly HostCandidate[], now: number): boolean {
  const reports = candidates
    .map(({ load }) => load.recentReport(now, maxReportAgeForBusyMilliseconds))
    .filter((report) => report !== undefined);
  const busy = reports.filter(({ inFlight, limit, queued }) =>
    exceedsUtilization(inFlight + queued, limit),
  );
  return busy.length > reports.length * maxBusyHostShare;
}

/**
 * Selects the candidates for a hedge by their place: in another failure domain than the first
 * attempt if there is one, and across the link between regions only if the first attempt was, too.
 */
export function selectHedgePlaces(
  candidates: readonly HostCandidate[],
  first: HostCandidate,
): readonly HostCandidate[] {
  const isNear = first.distance !== Distance.otherRegion;
  const inReach = candidates.filter(({ distance }) => !isNear || distance !== Distance.otherRegion);
  const { failureDomain, region } = first.entry.location;
  const elsewhere = inReach.filter(
    ({ entry }) =>
      entry.location.failureDomain !== failureDomain || entry.location.region !== region,
  );
  return elsewhere.length > 0 ? elsewhere : inReach;
}

/** Whether a report is recent enough to send a hedge to the host without a probe. */
export function hasHedgeReport({ load }: HostCandidate, now: number): boolean {
  return load.recentReport(now, maxReportAgeMilliseconds) !== undefined;
}

/** Whether a host is known to be warm, neither slow nor busy, and to have a free slot. */
export function canTakeHedge(
  { load }: HostCandidate,
  { depth, now, speed }: Pick<HostRequest, 'depth' | 'now' | 'speed'>,
): boolean {
  const report = load.recentReport(now, maxReportAgeMilliseconds);
  if (report === undefined || report.rampShare < 1) return false;
  if ((report.workFactor ?? 1) > maxWorkFactor || load.slowness > maxSlowness) return false;
  if (exceedsUtilization(report.inFlight + report.queued + 1, report.limit)) return false;
  return load.expectedWait(speed, now, depth) === 0;
}

/** A host with few slots may use one in any case. */
function exceedsUtilization(requests: number, limit: number): boolean {
  return requests > Math.max(1, limit * maxUtilization);
}
