import type { AdmissionRequest } from './AdmissionController.js';
import type { EstimatedRequest } from './EstimatedRequest.js';
import { FairShares } from './FairShares.js';
import { ServiceRatios } from './ServiceRatios.js';
import { compareServiceRanks, type ServiceRank } from './ServiceRank.js';
import { slotCharge } from './slotCharge.js';

/** A waiting request, and what its rank depends on. */
export interface RankedRequest {
  readonly request: AdmissionRequest;
  /** Present value density. */
  readonly density: number;
  /** Target latency of its kind, in milliseconds. */
  readonly targetMilliseconds: number;
  readonly now: number;
}

/**
 * A tenant or kind that is served less often than this fraction of all requests goes first. The
 * limit is a quarter; the margin covers the time until a low ratio is noticed. All tenants together
 * can gain at most this share of the slots by sending more requests than can be served.
 */
const starvationFraction = 0.35;
/** Target latency at which the urgency is half the value density. */
const targetScaleMilliseconds = 150;
/**
 * Slot time that a tenant may use in one round, enough for about two requests. With 1000 ms, a
 * small tenant beside two hot ones waits too long in each round; without a quantum, neither
 * priority nor target latency counts between tenants that have the same share left.
 */
export const defaultQuantumMilliseconds = 100;

/** Order of service of the waiting requests of one backend server that has tenants. */
export class TenantServiceOrder {
  readonly #ratiosByTenant = new ServiceRatios();

  readonly #ratiosByKind = new ServiceRatios();

  readonly #shares: FairShares;

  constructor(quantumMilliseconds = defaultQuantumMilliseconds) {
    this.#shares = new FairShares(quantumMilliseconds);
  }

  rank({ density, now, request, targetMilliseconds }: RankedRequest): ServiceRank {
    return {
      isCall: request.depth > 0,
      isStarved: this.#isStarved(request, now),
      round: request.depth > 0 ? 0 : this.#shares.roundOf(accountOf(request)),
      tenantPriority: request.tenantPriority ?? 0,
      // The target of the kind and not the remaining time, which would favour requests that are
      // about to be late over new ones, and under overload answer fewer of them in time.
      urgency: density / (1 + Math.max(0, targetMilliseconds) / targetScaleMilliseconds),
    };
  }

  /** Returns the requests in the predicted order of service. */
  sort<Ranked extends { readonly entry: EstimatedRequest; readonly rank: ServiceRank }>(
    ranked: readonly Ranked[],
    now: number,
  ): Ranked[] {
    const compare = (first: Ranked, second: Ranked) => compareServiceRanks(first.rank, second.rank);
    const furtherByAccount = new Map<string, number>();
    return [...ranked]
      .sort(compare)
      .map((item) => {
        const { expectedMilliseconds, request } = item.entry;
        if (request.depth > 0) return item;
        const account = accountOf(request);
        const further = furtherByAccount.get(account) ?? 0;
        const charge = slotCharge(request, expectedMilliseconds, now);
        furtherByAccount.set(account, further + charge);
        const round = this.#shares.roundOf(account, further);
        return { ...item, rank: { ...item.rank, round } };
      })
      .sort(compare);
  }

  /** Sets the lowest round of all waiting requests. */
  advanceTo(round: number): void {
    this.#shares.advanceTo(round);
  }

  /** Records a request that gets a slot. */
  recordServed(
    { expectedMilliseconds, request }: EstimatedRequest,
    isQueueEmpty: boolean,
    now: number,
  ): void {
    this.#recordDecision(request, true, now);
    if (request.depth > 0) return;
    const account = accountOf(request);
    // Nobody waits, so the use of a free slot leaves no debt.
    if (isQueueEmpty) this.#shares.advanceTo(this.#shares.roundOf(account));
    this.#shares.charge(account, slotCharge(request, expectedMilliseconds, now));
  }

  /** Corrects the charge of a request that has left its slot. */
  recordFinished(
    { expectedMilliseconds, request }: EstimatedRequest,
    milliseconds: number,
    now: number,
  ): void {
    if (request.depth > 0) return;
    const difference = milliseconds - expectedMilliseconds;
    this.#shares.charge(accountOf(request), slotCharge(request, difference, now - milliseconds));
  }

  /** Records a request that was refused for lack of a slot. */
  recordRefused(request: AdmissionRequest, now: number): void {
    this.#recordDecision(request, false, now);
  }

  #recordDecision(request: AdmissionRequest, isServed: boolean, now: number): void {
    if (request.tenant === undefined || request.depth > 0) return;
    this.#ratiosByTenant.record(request.tenant, isServed, now);
    this.#ratiosByKind.record(request.kind, isServed, now);
  }

  #isStarved({ kind, tenant }: AdmissionRequest, now: number): boolean {
    if (tenant === undefined) return false;
    return (
      this.#ratiosByTenant.isBelow(tenant, starvationFraction, now) ||
      this.#ratiosByKind.isBelow(kind, starvationFraction, now)
    );
  }
}

/** Requests without a tenant share one account beside those of the tenants. */
function accountOf({ tenant }: AdmissionRequest): string {
  return tenant ?? '';
}
