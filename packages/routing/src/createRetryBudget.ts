import { RetryBudget } from '@hickorybridge/coordination';
import type { Clock } from '@hickorybridge/utils';

// Lets a quiet service retry at all.
const retriesPerSecond = 10;

// Bounds the burst of further tries when many requests fail at once.
const retryBurst = 100;

/** Makes the retry budget of one service of a node. */
export function createRetryBudget(share: number, clock: Clock): RetryBudget {
  return new RetryBudget({ share, minimumPerSecond: retriesPerSecond, burst: retryBurst, clock });
}
