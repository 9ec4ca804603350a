/** Tenants whose use is remembered; the ones without work for the longest time are dropped. */
const maxTenants = 2048;

/**
 * Deficit round robin between tenants in virtual time. Each tenant may use a quantum of slot time
 * in each round, and the round that a tenant has reached follows from the work that it has used.
 * A tenant without recent work joins the current round, so idle time gives neither credit nor debt.
 */
export class FairShares {
  readonly #quantumMilliseconds: number;

  /** Slot milliseconds that each tenant has used, by weight; least recently charged first. */
  readonly #usedByTenant = new Map<string, number>();

  #currentRound = 0;

  constructor(quantumMilliseconds: number) {
    this.#quantumMilliseconds = quantumMilliseconds;
  }

  get size(): number {
    return this.#usedByTenant.size;
  }

  /** Round in which a tenant's next request runs, after further work by weight. */
  roundOf(tenant: string, furtherMilliseconds = 0): number {
    return Math.floor((this.#usedBy(tenant) + furtherMilliseconds) / this.#quantumMilliseconds);
  }

  /** Sets the current round: the lowest one of the waiting tenants. Never goes back. */
  advanceTo(round: number): void {
    this.#currentRound = Math.max(this.#currentRound, round);
  }

  /** Charges work to a tenant, in slot milliseconds by weight. */
  charge(tenant: string, milliseconds: number): void {
    const used = this.#usedBy(tenant) + milliseconds;
    this.#usedByTenant.delete(tenant);
    this.#usedByTenant.set(tenant, used);
    if (this.#usedByTenant.size <= maxTenants) return;
    const [oldest] = this.#usedByTenant.keys();
    if (oldest !== undefined) this.#usedByTenant.delete(oldest);
  }

  #usedBy(tenant: string): number {
    const startOfRound = this.#currentRound * this.#quantumMilliseconds;
    return Math.max(startOfRound, this.#usedByTenant.get(tenant) ?? 0);
  }
}
