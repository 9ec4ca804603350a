import { DecayingRatio } from './DecayingRatio.js';

/** A ratio of fewer recent decisions is too uncertain to act on. */
const minimumDecisions = 3;
/** Names that are remembered; the ones without decisions for the longest time are dropped. */
const maxNames = 2048;

/**
 * Recent share of served requests for each name (a tenant or a kind) and for all together. The cost
 * of a decision does not depend on the number of names.
 */
export class ServiceRatios {
  /** Least recently recorded first. */
  readonly #ratioByName = new Map<string, DecayingRatio>();

  readonly #total = new DecayingRatio();

  get size(): number {
    return this.#ratioByName.size;
  }

  record(name: string, isServed: boolean, now: number): void {
    const ratio = this.#ratioByName.get(name) ?? new DecayingRatio();
    ratio.record(isServed, now);
    this.#total.record(isServed, now);
    this.#ratioByName.delete(name);
    this.#ratioByName.set(name, ratio);
    if (this.#ratioByName.size <= maxNames) return;
    const [oldest] = this.#ratioByName.keys();
    if (oldest !== undefined) this.#ratioByName.delete(oldest);
  }

  /** Whether a name is served less often than the given fraction of the ratio of all names. */
  isBelow(name: string, fraction: number, now: number): boolean {
    const counts = this.#ratioByName.get(name);
    if (counts === undefined || counts.decidedAt(now) < minimumDecisions) return false;
    return counts.ratio < fraction * this.#total.ratio;
  }
}
