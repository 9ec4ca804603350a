import type { RandomSource } from '@hickorybridge/utils';

/** What is known when a caller is told to come back. */
export interface ReturnAdviceOptions {
  /** Predicted wait at the least loaded host, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Time that the caller still has, in milliseconds. */
  readonly remainingMilliseconds: number;
  readonly random: RandomSource;
}

/** A caller that returns sooner meets the same queue, or the same slow spell of a host. */
const minimumMilliseconds = 250;
/** Later, too little time is left for the request itself. */
const maxRemainingShare = 1 / 3;

/**
 * Advises when a refused caller is to come back: when the queue that it met will be shorter, spread
 * over the time until then, so that the callers of one burst do not return as another.
 */
export function computeRetryAfter(options: ReturnAdviceOptions): number {
  const { random, remainingMilliseconds, waitMilliseconds } = options;
  const latest = remainingMilliseconds * maxRemainingShare;
  const center = Math.min(latest, Math.max(minimumMilliseconds, waitMilliseconds));
  return center * (0.5 + 0.5 * random.next());
}
