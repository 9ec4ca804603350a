import type { BackendServerEntry, LoadReport } from '@hickorybridge/types';
import type {
  BackendServerSelector,
  SelectionRequest,
  TryResult,
} from './BackendServerSelector.js';
import { BackendServerSubset } from './BackendServerSubset.js';
import type { SelectorOptions } from './SelectorOptions.js';

/**
 * Base of the simple policies: they choose within the own region while it has an eligible backend
 * server, and in the other region when it has none.
 */
export abstract class NearestRegionSelector implements BackendServerSelector {
  protected readonly options: SelectorOptions;

  readonly #subset: BackendServerSubset;

  readonly #outstanding = new Map<string, number>();

  constructor(options: SelectorOptions) {
    this.options = options;
    const { context, directory, settings } = options;
    this.#subset = new BackendServerSubset({ context, directory, size: settings.subsetSize });
  }

  select(request: SelectionRequest): BackendServerEntry | undefined {
    const tiers = this.#subset.eligible(request.service, request.excluded);
    const region = [...tiers[0], ...tiers[1]];
    const candidates = region.length > 0 ? region : tiers[2];
    if (candidates.length === 0) return undefined;
    return this.choose(candidates, request);
  }

  recordSent(entry: BackendServerEntry): void {
    this.#outstanding.set(entry.backendServerId, this.outstandingOf(entry) + 1);
  }

  recordResult(entry: BackendServerEntry, _result: TryResult): void {
    const rest = this.outstandingOf(entry) - 1;
    if (rest > 0) this.#outstanding.set(entry.backendServerId, rest);
    else this.#outstanding.delete(entry.backendServerId);
  }

  // The simple policies make no use of load reports.
  // eslint-disable-next-line class-methods-use-this
  recordReport(
    _entry: BackendServerEntry,
    _report: LoadReport,
    _elapsedMilliseconds: number,
  ): void {}

  // The simple policies do not measure delays.
  // eslint-disable-next-line class-methods-use-this
  roundTripTo(_entry: BackendServerEntry): number {
    return 0;
  }

  protected outstandingOf(entry: BackendServerEntry): number {
    return this.#outstanding.get(entry.backendServerId) ?? 0;
  }

  /** Chooses one of at least one candidate. */
  protected abstract choose(
    candidates: readonly BackendServerEntry[],
    request: SelectionRequest,
  ): BackendServerEntry | undefined;
}
