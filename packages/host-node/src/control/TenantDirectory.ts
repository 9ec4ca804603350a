import type { RouteConfiguration, Tenant } from '@hickorybridge/types';

/** Finds the tenants of the configuration in force by their names. */
export class TenantDirectory {
  readonly #configuration: () => RouteConfiguration | undefined;

  #indexed: RouteConfiguration | undefined;

  #byName = new Map<string, Tenant>();

  constructor(configuration: () => RouteConfiguration | undefined) {
    this.#configuration = configuration;
  }

  /** Whether callers need keys. */
  get hasTenants(): boolean {
    return this.#configuration()?.tenantsByKey !== undefined;
  }

  find(name: string): Tenant | undefined {
    const configuration = this.#configuration();
    if (configuration !== this.#indexed) {
      this.#indexed = configuration;
      const tenants = [...(configuration?.tenantsByKey?.values() ?? [])];
      this.#byName = new Map(tenants.map((tenant) => [tenant.name, tenant]));
    }
    return this.#byName.get(name);
  }
}
