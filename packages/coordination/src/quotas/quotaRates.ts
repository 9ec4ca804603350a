import type { QuotaBounds } from '@hickorybridge/types';

/** How long a node may spend a token, in milliseconds from the moment at which it asked for it. */
export const tokenLifetimeMilliseconds = 500;

/** The limit of a tenant across all nodes. */
export interface QuotaLimit {
  /** Requests per second; 0 for no limit. */
  readonly requestsPerSecond: number;
  /** Requests allowed beyond the rate. */
  readonly burst: number;
}

/** Refill rate and capacity of a token bucket. */
export interface QuotaRates {
  readonly tokensPerSecond: number;
  readonly capacity: number;
}

/** Share of the slack of each window that goes into the rate; the rest is capacity. */
const slackRateShare = 0.2;
/** Two tokens for each of six brokers and for the share in reserve. */
const minimumCapacity = 14;
/**
 * Seconds of the limit that the buckets hold at least. With 0.2 s, tenants without a burst were
 * refused at 0.6 of their limit, because buckets were full between two batches.
 */
const minimumCapacitySeconds = 0.8;
/** Without a slack, a small limit needs the rest for its rate. */
const maximumCapacityShare = 0.5;

/**
 * Rate and capacity that all brokers together have for a tenant. Within a window and the lifetime of
 * a token before it, they grant exactly what the bound allows, so the rate is lowered where too
 * little capacity would remain.
 */
export function quotaRates(limit: QuotaLimit, bounds: QuotaBounds): QuotaRates {
  const windowSeconds = bounds.windowMilliseconds / 1000;
  const spanSeconds = windowSeconds + tokenLifetimeMilliseconds / 1000;
  const { burst, requestsPerSecond } = limit;
  const total = quotaBound(limit, bounds);
  const wantedRate =
    requestsPerSecond * (1 + bounds.overShare) + (slackRateShare * bounds.slack) / windowSeconds;
  const wantedCapacity = Math.max(minimumCapacity, requestsPerSecond * minimumCapacitySeconds);
  const reserved = Math.max(burst, Math.min(total * maximumCapacityShare, wantedCapacity));
  const tokensPerSecond = Math.min(wantedRate, (total - reserved) / spanSeconds);
  return { tokensPerSecond, capacity: total - tokensPerSecond * spanSeconds };
}

/** Requests of a tenant that may arrive in any window, across all nodes. */
export function quotaBound(limit: QuotaLimit, bounds: QuotaBounds): number {
  const { overShare, slack, windowMilliseconds } = bounds;
  const { burst, requestsPerSecond } = limit;
  return ((requestsPerSecond * windowMilliseconds) / 1000 + burst) * (1 + overShare) + slack;
}
