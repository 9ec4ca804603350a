import type { RandomSource } from '@hickorybridge/utils';

/** What determines when a refused caller retries. */
export interface RetryAfterOptions {
  /** Predicted wait at the least loaded host. */
  readonly waitMilliseconds: number;
  /** Time until the caller's deadline. */
  readonly remainingMilliseconds: number;
  readonly random: RandomSource;
}

/** A caller that retries sooner meets the same queue, or the same temporary slowdown of a host. */
const minimumDelayMilliseconds = 250;
/** A later retry would leave too little time for the request itself. */
const maxRemainingShare = 1 / 3;

/**
 * Computes the delay after which a refused caller should retry, in milliseconds: when the queue is
 * expected to be shorter. Jitter keeps the callers of one burst from retrying as another burst.
 */
export function computeRetryAfter(options: RetryAfterOptions): number {
  const { random, remainingMilliseconds, waitMilliseconds } = options;
  const maxDelay = remainingMilliseconds * maxRemainingShare;
  const baseDelay = Math.min(maxDelay, Math.max(minimumDelayMilliseconds, waitMilliseconds));
  return baseDelay * (0.5 + 0.5 * random.next());
}
