import { Distance } from '@hickorybridge/types';

import type { HostCandidate, HostRequest } from './HostSelector.js';

/**
 * Hosts that are asked at a time. The better of two random hosts is most of what the best of all
 * gives, and a third makes up for one that is slow to answer.
 */
const askedAtOnce = 3;
/** A request that takes less than this many round trips is sent without asking. */
const minimumRoundTrips = 10;
/** A load is as good as new for this share of a request's work. */
const freshShare = 0.03;

/**
 * Chooses the hosts that are to tell their load before a request is sent, the most promising first.
 * In a large fleet one node reaches each host so seldom that what came with its answers is long
 * outdated, and nodes that follow old reports fill some hosts while others are idle.
 */
export function chooseAsked(
  ranked: readonly HostCandidate[],
  request: HostRequest,
): HostCandidate[] {
  return ranked
    .slice(0, askedAtOnce)
    .filter((candidate) => isAskable(candidate, request) && !isFresh(candidate, request));
}

/** Whether the host's answer would come soon enough to be worth waiting for. */
export function isAskable(
  { distance, roundTripMilliseconds }: HostCandidate,
  { workMilliseconds }: HostRequest,
): boolean {
  return (
    distance !== Distance.otherRegion &&
    roundTripMilliseconds * minimumRoundTrips < workMilliseconds
  );
}

/** Whether the load of a host is known as it is now, or was at `since`. */
export function isFresh(
  { load }: HostCandidate,
  { now, workMilliseconds }: HostRequest,
  since = now,
): boolean {
  return load.ageAt(since) <= workMilliseconds * freshShare;
}
