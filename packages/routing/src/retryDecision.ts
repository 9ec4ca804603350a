import type { RetryBudget } from '@hickorybridge/coordination';

/** Why a try brought no answer. */
export const TryFailure = {
  /** Proof that the request was not run. */
  notRun: 'not-run',
  /** The request may have run. */
  ambiguous: 'ambiguous',
} as const;

export type TryFailure = (typeof TryFailure)[keyof typeof TryFailure];

/** What is known after a failed try. */
export interface FailedTry {
  readonly failure: TryFailure;
  readonly idempotent: boolean;
  /** Whether any earlier try of this request may have run. */
  readonly mayHaveRun: boolean;
  /** Tries that were permitted before the failed one, itself included. */
  readonly attempts: number;
  /** Permission that the failed try carried, as `attemptsForTry` gave it. */
  readonly carried: number;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly now: number;
  /** Shortest time in which another try can succeed, in milliseconds. */
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

/** What to do after a failed try, and what may be told to the caller when no other follows. */
export type RetryDecision =
  | { readonly type: 'retry'; readonly attempts: number }
  | { readonly type: 'stop'; readonly reason: StopReason; readonly outcome: 'not-run' | 'unknown' };

/** Decides what follows a failed try. A retry takes one token from the budget. */
export function retryDecision(failed: FailedTry): RetryDecision {
  const mayHaveRun = failed.failure === TryFailure.ambiguous || failed.mayHaveRun;
  const outcome = mayHaveRun ? 'unknown' : 'not-run';
  const stop = (reason: StopReason): RetryDecision => ({ type: 'stop', reason, outcome });
  if (mayHaveRun && !failed.idempotent) return stop(StopReason.ambiguousLoss);
  const attempts = attemptsLeft(failed);
  if (attempts < 1) return stop(StopReason.noPermission);
  if (failed.now + failed.minimumTryMilliseconds >= failed.deadline) {
    return stop(StopReason.deadline);
  }
  if (!failed.budget.tryAcquireRetry()) return stop(StopReason.budget);
  return { type: 'retry', attempts };
}

/**
 * A request that was not run has used none of the permission that went with it, except for the
 * try itself. After an ambiguous loss all of it may have been used by calls below.
 */
function attemptsLeft(failed: FailedTry): number {
  return failed.attempts - (failed.failure === TryFailure.notRun ? 1 : failed.carried);
}

/** What decides how much permission goes with a try. */
export interface TryPermission {
  /** Tries that are permitted, the one to be sent included; at least 1. */
  readonly attempts: number;
  readonly idempotent: boolean;
  readonly depth: number;
}

/**
 * Gives the permission that a try carries to the calls below it. The permissions of all tries of
 * one request never add up to more than its own, so the runs at any depth of a chain are at most
 * the attempts of the outermost request: tries do not multiply.
 *
 * The outermost router keeps one attempt of an idempotent request, for a hedged request or an
 * ambiguous loss. Deeper ones pass on all, because an error there costs the whole chain above.
 */
export function attemptsForTry({ attempts, idempotent, depth }: TryPermission): number {
  const kept = idempotent && depth === 0 ? 1 : 0;
  return Math.max(1, attempts - kept);
}
