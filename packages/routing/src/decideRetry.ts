import type { RetryBudget } from '@hickorybridge/coordination';

/** Why a try returned no answer. */
export const TryFailure = {
  /** The request was provably not run. */
  notRun: 'not-run',
  /** The request may have run. */
  ambiguous: 'ambiguous',
} as const;

export type TryFailure = (typeof TryFailure)[keyof typeof TryFailure];

/** State of a request after a failed try. */
export interface RetryDecisionOptions {
  readonly failure: TryFailure;
  readonly idempotent: boolean;
  /** Whether any earlier try of this request may have run. */
  readonly mayHaveRun: boolean;
  /** Number of permitted tries before the failed one, which it includes. */
  readonly attempts: number;
  /** Attempts that the failed try passed downstream, from `computeDownstreamAttempts`. */
  readonly downstreamAttempts: number;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly now: number;
  /** Shortest time in which another try can succeed. */
  readonly minimumTryMilliseconds: number;
  readonly budget: RetryBudget;
}

/** Why no further try is made. */
export const StopReason = {
  ambiguousLoss: 'ambiguous-loss',
  noPermission: 'no-permission',
  deadline: 'deadline',
  budget: 'budget',
} as const;

export type StopReason = (typeof StopReason)[keyof typeof StopReason];

/** What to do after a failed try, and the outcome reported to the caller if it is not retried. */
export type RetryDecision =
  | { readonly type: 'retry'; readonly attempts: number }
  | { readonly type: 'stop'; readonly reason: StopReason; readonly outcome: 'not-run' | 'unknown' };

/** Decides whether to retry after a failed try. A retry takes one token from the budget. */
export function decideRetry(failed: RetryDecisionOptions): RetryDecision {
  const mayHaveRun = failed.failure === TryFailure.ambiguous || failed.mayHaveRun;
  const outcome = mayHaveRun ? 'unknown' : 'not-run';
  const stop = (reason: StopReason): RetryDecision => ({ type: 'stop', reason, outcome });
  if (mayHaveRun && !failed.idempotent) return stop(StopReason.ambiguousLoss);
  const attempts = remainingAttempts(failed);
  if (attempts < 1) return stop(StopReason.noPermission);
  if (failed.now + failed.minimumTryMilliseconds >= failed.deadline) {
    return stop(StopReason.deadline);
  }
  if (!failed.budget.tryAcquireRetry()) return stop(StopReason.budget);
  return { type: 'retry', attempts };
}

/**
 * A request that was not run has used one attempt, for the try itself. After an ambiguous loss,
 * downstream calls may have used all attempts that were passed with the try.
 */
function remainingAttempts(failed: RetryDecisionOptions): number {
  return failed.attempts - (failed.failure === TryFailure.notRun ? 1 : failed.downstreamAttempts);
}

/** What determines the number of attempts passed downstream with a try. */
export interface DownstreamAttemptsOptions {
  /** Number of permitted tries, including the one to be sent; at least 1. */
  readonly attempts: number;
  readonly idempotent: boolean;
  readonly depth: number;
}

/**
 * Computes the number of attempts that a try passes to its downstream calls. The attempts passed by
 * all tries of a request never exceed its own, so the number of runs at any depth of a call chain is
 * at most the attempts of the outermost request: retries do not multiply.
 *
 * The outermost router reserves one attempt of an idempotent request for a hedged request or an
 * ambiguous loss. Routers further down pass on all attempts, since an error there fails the whole
 * chain above.
 */
export function computeDownstreamAttempts({
  attempts,
  idempotent,
  depth,
}: DownstreamAttemptsOptions): number {
  const reserved = idempotent && depth === 0 ? 1 : 0;
  return Math.max(1, attempts - reserved);
}
