import { RetryBudget } from '@hickorybridge/coordination';
import type { Clock } from '@hickorybridge/utils';

// Allows retries for services with few requests.
const minimumRetriesPerSecond = 10;

// Bounds the burst of retries when many requests fail at once.
const maxRetryBurst = 100;

/** Creates the retry budget of one service on a node. */
export function createRetryBudget(share: number, clock: Clock): RetryBudget {
  return new RetryBudget({
    share,
    minimumPerSecond: minimumRetriesPerSecond,
    burst: maxRetryBurst,
    clock,
  });
}
