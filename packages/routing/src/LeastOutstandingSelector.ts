import type { BackendServerEntry } from '@hickorybridge/types';
import { NearestRegionSelector } from './NearestRegionSelector.js';

/** Chooses the candidate with the fewest outstanding requests of this router; breaks ties randomly. */
export class LeastOutstandingSelector extends NearestRegionSelector {
  protected override choose(
    candidates: readonly BackendServerEntry[],
  ): BackendServerEntry | undefined {
    const fewest = Math.min(...candidates.map((entry) => this.outstandingOf(entry)));
    const tied = candidates.filter((entry) => this.outstandingOf(entry) === fewest);
    return tied[this.options.random.integerBelow(tied.length)];
  }
}
