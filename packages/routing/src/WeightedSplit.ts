import type { WeightedService } from '@hickorybridge/types';
import type { RandomSource } from '@hickorybridge/utils';

/**
 * Splits requests among services in proportion to their weights by smooth weighted round-robin.
 * Each node keeps the proportions within a few requests, where random choices would deviate from
 * them over a short window.
 */
export class WeightedSplit {
  readonly #targets: { readonly service: string; readonly weight: number; credit: number }[];

  readonly #totalWeight: number;

  constructor(shares: readonly WeightedService[], random: RandomSource) {
    this.#totalWeight = shares.reduce((sum, { weight }) => sum + weight, 0);
    // Random initial credits keep the nodes from all choosing the same service at once.
    this.#targets = shares.map(({ service, weight }) => ({
      service,
      weight,
      credit: random.next() * this.#totalWeight,
    }));
  }

  next(): string {
    let best = this.#targets[0];
    for (const target of this.#targets) {
      target.credit += target.weight;
      if (best === undefined || target.credit > best.credit) best = target;
    }
    if (best === undefined) throw new Error('a route has no service');
    best.credit -= this.#totalWeight;
    return best.service;
  }
}
