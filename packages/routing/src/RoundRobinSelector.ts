import type { BackendServerEntry } from '@hickorybridge/types';
import type { SelectionRequest } from './BackendServerSelector.js';
import { NearestRegionSelector } from './NearestRegionSelector.js';

/** Chooses the candidates of a service in turn. */
export class RoundRobinSelector extends NearestRegionSelector {
  readonly #turns = new Map<string, number>();

  protected override choose(
    candidates: readonly BackendServerEntry[],
    request: SelectionRequest,
  ): BackendServerEntry | undefined {
    const turn =
      this.#turns.get(request.service) ?? this.options.random.integerBelow(candidates.length);
    this.#turns.set(request.service, turn + 1);
    return candidates[turn % candidates.length];
  }
}
