import type { BackendServerEntry } from '@hickorybridge/types';
import { NearestRegionSelector } from './NearestRegionSelector.js';

/** Power of two choices: the less loaded of two random candidates, by outstanding requests. */
export class TwoChoicesSelector extends NearestRegionSelector {
  protected override choose(
    candidates: readonly BackendServerEntry[],
  ): BackendServerEntry | undefined {
    const { random } = this.options;
    const firstIndex = random.integerBelow(candidates.length);
    const first = candidates[firstIndex];
    if (first === undefined || candidates.length === 1) return first;
    const offset = 1 + random.integerBelow(candidates.length - 1);
    const second = candidates[(firstIndex + offset) % candidates.length];
    if (second === undefined) return first;
    return this.outstandingOf(second) < this.outstandingOf(first) ? second : first;
  }
}
