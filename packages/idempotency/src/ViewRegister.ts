import type { ClaimView, ShardView } from './claimView.js';

/** Called with each newer view. */
export type ViewListener = (view: ClaimView) => void;

/** The newest committed view that this node knows. Refuses older ones. */
export class ViewRegister {
  #view: ClaimView | undefined;

  /** Entries learnt from holders' replies, which may be newer than the whole view. */
  readonly #newer = new Map<number, ShardView>();

  readonly #listeners = new Set<ViewListener>();

  /** The newest whole view, or `undefined` before the first. */
  current(): ClaimView | undefined {
    return this.#view;
  }

  /** The newest known entry of a shard. */
  shard(shard: number): ShardView | undefined {
    return this.#newer.get(shard) ?? this.#view?.shards[shard];
  }

  /** Takes over a view that was read from the store. Returns whether it was newer. */
  apply(view: ClaimView): boolean {
    if (this.#view !== undefined && view.version <= this.#view.version) return false;
    this.#view = view;
    for (const [shard, entry] of this.#newer) {
      if ((view.shards[shard]?.number ?? 0) >= entry.number) this.#newer.delete(shard);
    }
    for (const listener of this.#listeners) listener(view);
    return true;
  }

  /** Takes over a committed entry that a holder reported. Returns whether it was newer. */
  applyShard(entry: ShardView): boolean {
    if (entry.number <= (this.shard(entry.shard)?.number ?? 0)) return false;
    this.#newer.set(entry.shard, entry);
    return true;
  }

  /** Calls the listener with each newer view; returns a function that ends this. */
  onChange(listener: ViewListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
