import type { AdmissionRequest } from './AdmissionController.js';

/** Requests of tenants that were refused for lack of a slot over a period. */
export interface RefusalSummary {
  readonly refusalsByPriority: ReadonlyMap<number, number>;
  /** The tenant with the most refusals; `undefined` if there were none. */
  readonly mostRefusedTenant: string | undefined;
  readonly mostRefusals: number;
}

/** Tenants counted in one period; refusals of further ones count by priority only. */
const maxTenants = 256;

/** Counts refusals of tenants for periodic log lines and metrics. */
export class RefusalMeter {
  #byPriority = new Map<number, number>();

  #byTenant = new Map<string, number>();

  record({ tenant, tenantPriority = 0 }: AdmissionRequest): void {
    if (tenant === undefined) return;
    this.#byPriority.set(tenantPriority, (this.#byPriority.get(tenantPriority) ?? 0) + 1);
    const refusals = this.#byTenant.get(tenant);
    if (refusals === undefined && this.#byTenant.size >= maxTenants) return;
    this.#byTenant.set(tenant, (refusals ?? 0) + 1);
  }

  /** Returns the refusals since the previous call. */
  takeSummary(): RefusalSummary {
    let mostRefusedTenant: string | undefined;
    let mostRefusals = 0;
    for (const [tenant, refusals] of this.#byTenant) {
      if (refusals > mostRefusals) {
        mostRefusedTenant = tenant;
        mostRefusals = refusals;
      }
    }
    const refusalsByPriority = this.#byPriority;
    this.#byPriority = new Map();
    this.#byTenant = new Map();
    return { refusalsByPriority, mostRefusedTenant, mostRefusals };
  }
}
