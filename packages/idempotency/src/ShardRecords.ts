import type { RecordBudget } from './RecordBudget.js';
import { RecordTable } from './RecordTable.js';
import type { ShardView } from './claimView.js';

/** A view for which this process holds the complete records. */
export interface PreparedView {
  readonly id: string;
  readonly number: number;
  /** Monotonic time from which the records are complete; -Infinity when nothing was ever lost. */
  readonly historyStart: number;
  /** Monotonic time at which the view was last known to be neither replaced nor frozen. */
  confirmedAt: number;
}

/** Prepared views kept for a shard; more pile up only when keepers fail again and again. */
const maximumPreparedViews = 8;

/** What a holder keeps for one shard. */
export class ShardRecords {
  readonly table: RecordTable;

  /** Newest entry that was read from the store. */
  committed: ShardView | undefined;

  /** Highest view number in which this process grants nothing any more. */
  sealedThrough = 0;

  /** Digests at the time of the seal, so that the pages of a transfer do not shift. */
  sealedDigests: readonly string[] | undefined;

  readonly #prepared = new Map<string, PreparedView>();

  constructor(lifetimeMilliseconds: number, budget: RecordBudget) {
    this.table = new RecordTable(lifetimeMilliseconds, budget);
  }

  get preparedIds(): string[] {
    return [...this.#prepared.keys()];
  }

  /** Finds a view for which this process is complete. */
  prepared(viewId: string): PreparedView | undefined {
    return this.#prepared.get(viewId);
  }

  addPrepared(view: PreparedView): void {
    this.#prepared.set(view.id, view);
    if (this.#prepared.size <= maximumPreparedViews) return;
    const removable = this.preparedIds.find((id) => id !== this.committed?.id);
    if (removable !== undefined) this.#prepared.delete(removable);
  }

  /** Seals all views up to a number. */
  seal(viewNumber: number): void {
    if (viewNumber <= this.sealedThrough) return;
    this.sealedThrough = viewNumber;
    this.sealedDigests = undefined;
  }

  /** Takes over a committed entry. Views with lower numbers can never act again. */
  commit(entry: ShardView): void {
    if (entry.number < (this.committed?.number ?? 0)) return;
    this.committed = entry;
    this.seal(entry.number - 1);
    if (entry.number > this.sealedThrough) this.sealedDigests = undefined;
    for (const [id, view] of this.#prepared) {
      if (view.number <= entry.number && id !== entry.id) this.#prepared.delete(id);
    }
  }

  /** Whether no view, committed or possible, needs the records any more. */
  get isIdle(): boolean {
    return this.#prepared.size === 0;
  }
}
