import { RetryBudget } from '@hickorybridge/coordination';
import type { Clock } from '@hickorybridge/utils';
import { QuantileEstimate } from './QuantileEstimate.js';

/** Settings of the hedged requests of one service. */
export interface HedgePolicyOptions {
  /** Hedged requests as a share of requests, from 0 to 1. */
  readonly share: number;
  readonly clock: Clock;
}

/** A request that is still without an answer. */
export interface LateRequest {
  readonly kind: string;
  readonly idempotent: boolean;
  /** Permitted tries that no try has carried away. */
  readonly attemptsKept: number;
  /** Time since its first try was sent, in milliseconds. */
  readonly elapsedMilliseconds: number;
  readonly remainingMilliseconds: number;
}

/** Quantile of the response time of a kind after which a request counts as late. */
const lateQuantile = 0.95;
/**
 * Multiple of the quantile. At the quantile itself a quiet service would use up the whole budget,
 * and none would be left when a backend server becomes a straggler.
 */
const lateFactor = 1.5;
/** Hedged requests in a burst at most. */
const maximumHedgeTokens = 10;

/** Decides when a late idempotent request gets a hedged request. One for each service. */
export class HedgePolicy {
  readonly #budget: RetryBudget;

  readonly #responseTimes = new Map<string, QuantileEstimate>();

  constructor({ share, clock }: HedgePolicyOptions) {
    this.#budget = new RetryBudget({
      share,
      minimumPerSecond: 0,
      burst: maximumHedgeTokens,
      clock,
    });
  }

  /** Counts a request, from which the budget is earned. */
  firstTry(): void {
    this.#budget.recordFirstAttempt();
  }

  /** Takes in the response time of a first try. Hedged ones would lower the quantile. */
  recordResponseTime(kind: string, elapsedMilliseconds: number): void {
    const known = this.#responseTimes.get(kind);
    const estimate = known ?? new QuantileEstimate(lateQuantile);
    if (known === undefined) this.#responseTimes.set(kind, estimate);
    estimate.record(elapsedMilliseconds);
  }

  /**
   * Gives the time after the first try at which a request of a kind is late, in milliseconds;
   * `undefined` while there are too few samples.
   */
  delayFor(kind: string): number | undefined {
    const value = this.#responseTimes.get(kind)?.value;
    return value === undefined ? undefined : value * lateFactor;
  }

  /** Decides whether to send a hedged request now. `true` takes a token from the budget. */
  tryHedge(request: LateRequest): boolean {
    const delay = this.delayFor(request.kind);
    if (!request.idempotent || request.attemptsKept < 1 || delay === undefined) return false;
    if (request.elapsedMilliseconds < delay || request.remainingMilliseconds <= 0) return false;
    return this.#budget.tryAcquireRetry();
  }

  /** Gives the token back when no backend server was eligible. */
  returnToken(): void {
    this.#budget.returnRetry();
  }
}
