import type { AdmissionRequest } from './AdmissionController.js';
import { ServiceRatios } from './ServiceRatios.js';

/** A waiting request, and what its rank depends on. */
export interface RankedRequest {
  readonly request: AdmissionRequest;
  /** Present value density. */
  readonly density: number;
  /** Target latency that was left when the request arrived here, in milliseconds. */
  readonly targetMilliseconds: number;
  readonly now: number;
}

/** Position of a waiting request in the order of service. */
export interface ServiceRank {
  /** Calls, whose callers hold slots elsewhere until the call ends. */
  readonly isCall: boolean;
  /** Whether the request's tenant or kind is served far less often than all. */
  readonly isStarved: boolean;
  readonly tenantPriority: number;
  /** Value density, lowered for requests with a long target latency. */
  readonly urgency: number;
}

/**
 * A tenant or kind that is served less often than this fraction of all requests goes first. The
 * limit is a quarter; the margin covers the time until a low ratio is noticed. All tenants together
 * can gain at most this share of the slots by sending more requests than can be served.
 */
const starvationFraction = 0.35;
/** Target latency at which the urgency is half the value density. */
const targetScaleMilliseconds = 150;

/** Order of service of the waiting requests of one backend server that has tenants. */
export class TenantServiceOrder {
  readonly #ratiosByTenant = new ServiceRatios();

  readonly #ratiosByKind = new ServiceRatios();

  rank({ density, now, request, targetMilliseconds }: RankedRequest): ServiceRank {
    return {
      isCall: request.depth > 0,
      isStarved: this.#isStarved(request, now),
      tenantPriority: request.tenantPriority ?? 0,
      // The target on arrival and not the remaining time, which would favour requests that are
      // about to be late over new ones, and under overload answer fewer of them in time.
      urgency: density / (1 + Math.max(0, targetMilliseconds) / targetScaleMilliseconds),
    };
  }

  /** Records whether a request got a slot or was refused for lack of one. */
  record(request: AdmissionRequest, isServed: boolean, now: number): void {
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

/** Compares for sorting: negative if the first request goes before the second. */
export function compareServiceRanks(first: ServiceRank, second: ServiceRank): number {
  return (
    Number(second.isCall) - Number(first.isCall) ||
    Number(second.isStarved) - Number(first.isStarved) ||
    first.tenantPriority - second.tenantPriority ||
    second.urgency - first.urgency
  );
}
