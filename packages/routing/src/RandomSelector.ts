import type { BackendServerEntry } from '@hickorybridge/types';
import { NearestRegionSelector } from './NearestRegionSelector.js';

/** Chooses any candidate with equal probability. */
export class RandomSelector extends NearestRegionSelector {
  protected override choose(
    candidates: readonly BackendServerEntry[],
  ): BackendServerEntry | undefined {
    return candidates[this.options.random.integerBelow(candidates.length)];
  }
}
