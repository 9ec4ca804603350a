import type { Clock } from '@hickorybridge/utils';

import { HedgeWorkLimit } from './HedgeWorkLimit.js';
import { ResponseTimeQuantile } from './ResponseTimeQuantile.js';

/** Options of {@link RequestHedging}. */
export interface RequestHedgingOptions {
  /**
   * Hedged work as a share of the work of all requests of a service, from 0 to 1; `undefined` if no
   * limit is set for the service, which is then not hedged by this policy.
   */
  readonly shareOf: (service: string) => number | undefined;
  readonly clock: Pick<Clock, 'now'>;
}

/** What became of a hedge; the values are metric labels. */
export const HedgeEvent = {
  sent: 'sent',
  /** The hedge brought the answer. */
  won: 'won',
  /** The hedge was cancelled because the first attempt was answered or the caller left. */
  cancelled: 'cancelled',
  /** The share of extra work was used up. */
  limit: 'suppressed-limit',
  /** Many hosts of the service were busy. */
  busy: 'suppressed-busy',
  /** No eligible host had a free slot and the usual speed. */
  noHost: 'suppressed-no-host',
  /** The retry budget had nothing left. */
  retryBudget: 'suppressed-retry-budget',
} as const;

export type HedgeEvent = (typeof HedgeEvent)[keyof typeof HedgeEvent];

/** How a first attempt ended, for the learnt response times. */
export interface AttemptDuration {
  readonly milliseconds: number;
  /** False if the attempt was cancelled, so that its answer would have come later still. */
  readonly answered: boolean;
}

/**
 * Requests beyond the delay in a steady state, as a part of the limit. The rest is left for times
 * when more requests are late.
 */
const steadyPartOfShare = 0.5;
const minimumQuantile = 0.9;
const maximumQuantile = 0.99;
/** The probe and the way to another failure domain take about 8 ms each. */
const minimumDelayMilliseconds = 10;

/**
 * Decides when a late idempotent request is sent to a second host, and limits the extra work. The
 * delay of a route is a quantile of its recent response times that follows from the limit.
 */
export class RequestHedging {
  readonly #options: RequestHedgingOptions;

  readonly #limits = new Map<string, HedgeWorkLimit>();

  readonly #quantiles = new Map<string, { quantile: number; times: ResponseTimeQuantile }>();

  constructor(options: RequestHedgingOptions) {
    this.#options = options;
  }

  /** Whether a limit is set for a service, so that this policy replaces the fixed delay. */
  isSetFor(service: string): boolean {
    return this.#options.shareOf(service) !== undefined;
  }

  /** Counts a request and its expected work, in milliseconds. */
  recordRequest(service: string, workMilliseconds: number): void {
    const share = this.#options.shareOf(service);
    if (share !== undefined) this.#limitOf(service).recordRequest(workMilliseconds, share);
  }

  /** Records how long an attempt took that was not a hedge. Hedges would lower the quantile. */
  recordAttempt(service: string, route: string, duration: AttemptDuration): void {
    const share = this.#options.shareOf(service);
    if (share === undefined || share === 0) return;
    const times = this.#timesOf(route, share);
    const { answered, milliseconds } = duration;
    // An attempt cancelled before the quantile tells nothing about on which side of it it belongs.
    if (answered || milliseconds >= (times.value ?? Infinity)) times.record(milliseconds);
  }

  /**
   * Returns the time after which a request is sent to a second host, in milliseconds; `undefined`
   * while too few response times are known, or if hedges are off.
   */
  delayFor(service: string, route: string): number | undefined {
    const share = this.#options.shareOf(service);
    if (share === undefined || share === 0) return undefined;
    const learnt = this.#timesOf(route, share).value;
    return learnt === undefined ? undefined : Math.max(minimumDelayMilliseconds, learnt);
  }

  /** Whether the limit allows a hedge of this expected work, in milliseconds. */
  allows(service: string, workMilliseconds: number): boolean {
    const share = this.#options.shareOf(service);
    return share !== undefined && share > 0 && this.#limitOf(service).allows(workMilliseconds);
  }

  /** Counts a hedge that is sent. */
  recordHedge(service: string, workMilliseconds: number): void {
    this.#limitOf(service).take(workMilliseconds);
  }

  /** Drops the response times of routes that are no longer configured. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#quantiles.keys())
      if (!routes.has(route)) this.#quantiles.delete(route);
  }

  #limitOf(service: string): HedgeWorkLimit {
    const known = this.#limits.get(service);
    if (known !== undefined) return known;
    const limit = new HedgeWorkLimit();
    this.#limits.set(service, limit);
    return limit;
  }

  #timesOf(route: string, share: number): ResponseTimeQuantile {
    const quantile = quantileFor(share);
    const known = this.#quantiles.get(route);
    if (known?.quantile === quantile) return known.times;
    const times = new ResponseTimeQuantile({ quantile, clock: this.#options.clock });
    this.#quantiles.set(route, { quantile, times });
    return times;
  }
}

function quantileFor(share: number): number {
  return Math.min(maximumQuantile, Math.max(minimumQuantile, 1 - share * steadyPartOfShare));
}
