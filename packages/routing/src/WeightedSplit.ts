import type { WeightedService } from '@hickorybridge/types';
import type { RandomSource } from '@hickorybridge/utils';

/**
 * Divides requests among services in the proportions of their weights by smooth weighted
 * round-robin: each node keeps the shares over every few requests, where random choices would
 * drift in a short window.
 */
export class WeightedSplit {
  readonly #parts: { readonly service: string; readonly weight: number; credit: number }[];

  readonly #total: number;

  constructor(shares: readonly WeightedService[], random: RandomSource) {
    this.#total = shares.reduce((sum, { weight }) => sum + weight, 0);
    // Nodes start at different points, so that they do not all choose the same part at once.
    this.#parts = shares.map(({ service, weight }) => ({
      service,
      weight,
      credit: random.next() * this.#total,
    }));
  }

  next(): string {
    let best = this.#parts[0];
    for (const part of this.#parts) {
      part.credit += part.weight;
      if (best === undefined || part.credit > best.credit) best = part;
    }
    if (best === undefined) throw new Error('a route has no service');
    best.credit -= this.#total;
    return best.service;
  }
}
