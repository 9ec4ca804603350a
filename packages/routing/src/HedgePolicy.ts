import { RetryBudget } from '@hickorybridge/coordination';
import type { Clock } from '@hickorybridge/utils';
import { QuantileEstimate } from './QuantileEstimate.js';

/** Settings of the hedged requests of one service. */
export interface HedgePolicyOptions {
  /** Maximum ratio of hedged requests to requests, from 0 to 1. */
  readonly share: number;
  readonly clock: Clock;
}

/** A request without an answer so far, for which a hedged request is considered. */
export interface HedgeCandidate {
  readonly kind: string;
  readonly idempotent: boolean;
  /** Permitted tries that have not been passed downstream with a try. */
  readonly reservedAttempts: number;
  /** Time since its first try was sent, in milliseconds. */
  readonly elapsedMilliseconds: number;
  readonly remainingMilliseconds: number;
}

/** Quantile of the response times of a kind from which the hedging delay is derived. */
const lateQuantile = 0.95;
/**
 * Multiple of the quantile after which a request counts as late. At the quantile itself, a service
 * without problems would spend the whole budget and have none left for a straggler.
 */
const lateFactor = 1.5;
/** Maximum number of hedged requests in a burst. */
const maxHedgeBurst = 10;

/** Decides when a late idempotent request of one service is hedged. */
export class HedgePolicy {
  readonly #budget: RetryBudget;

  readonly #responseTimes = new Map<string, QuantileEstimate>();

  constructor({ share, clock }: HedgePolicyOptions) {
    this.#budget = new RetryBudget({
      share,
      minimumPerSecond: 0,
      burst: maxHedgeBurst,
      clock,
    });
  }

  /** Records a request, which adds to the hedging budget. */
  recordRequest(): void {
    this.#budget.recordFirstAttempt();
  }

  /** Records the response time of a first try. Hedged requests would lower the quantile. */
  recordResponseTime(kind: string, elapsedMilliseconds: number): void {
    const known = this.#responseTimes.get(kind);
    const estimate = known ?? new QuantileEstimate(lateQuantile);
    if (known === undefined) this.#responseTimes.set(kind, estimate);
    estimate.record(elapsedMilliseconds);
  }

  /**
   * Returns the time after the first try at which a request of a kind is late, in milliseconds, or
   * `undefined` while there are too few samples.
   */
  delayFor(kind: string): number | undefined {
    const value = this.#responseTimes.get(kind)?.value;
    return value === undefined ? undefined : value * lateFactor;
  }

  /** Returns whether to send a hedged request now; if so, takes a token from the budget. */
  tryHedge(request: HedgeCandidate): boolean {
    const delay = this.delayFor(request.kind);
    if (!request.idempotent || request.reservedAttempts < 1 || delay === undefined) return false;
    if (request.elapsedMilliseconds < delay || request.remainingMilliseconds <= 0) return false;
    return this.#budget.tryAcquireRetry();
  }

  /** Returns a token to the budget when no backend server was eligible. */
  returnToken(): void {
    this.#budget.returnRetry();
  }
}
