import type { Clock } from '@hickorybridge/utils';

/** Options of {@link DeduplicationWindow}. */
export interface DeduplicationWindowOptions {
  /** Time for which a key is kept after its last change, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Maximum number of keys. */
  readonly capacity: number;
  readonly clock: Pick<Clock, 'now'>;
}

/** Whether the work of a key may run; only `new` permits it. */
export type BeginOutcome<Value> =
  | { readonly type: 'new' }
  /** The work was begun before; whether it will finish is not known. */
  | { readonly type: 'begun' }
  | { readonly type: 'finished'; readonly value: Value }
  /** The window has no room for the key, so the work must not begin. */
  | { readonly type: 'full' };

interface WindowEntry<Value> {
  readonly expiresAt: number;
  readonly finished?: { readonly value: Value };
}

/**
 * Records which keys were begun, so that no work runs twice within the window. A full window
 * rejects new keys, because evicting a key before it expires would permit a second run.
 */
export class DeduplicationWindow<Value> {
  readonly #options: DeduplicationWindowOptions;

  /** Ordered by expiry, because each change moves a key to the end. */
  readonly #entries = new Map<string, WindowEntry<Value>>();

  constructor(options: DeduplicationWindowOptions) {
    this.#options = options;
  }

  /** Number of keys in the window. */
  get size(): number {
    this.#expire();
    return this.#entries.size;
  }

  /** Begins the work of a key and records the key if the work may run. */
  begin(key: string): BeginOutcome<Value> {
    this.#expire();
    const entry = this.#entries.get(key);
    if (entry?.finished !== undefined) return { type: 'finished', value: entry.finished.value };
    if (entry !== undefined) return { type: 'begun' };
    if (this.#entries.size >= this.#options.capacity) return { type: 'full' };
    this.#store(key);
    return { type: 'new' };
  }

  /**
   * Records the result of finished work. Returns false if the key has expired or was never begun.
   */
  finish(key: string, value: Value): boolean {
    this.#expire();
    if (!this.#entries.has(key)) return false;
    this.#store(key, { value });
    return true;
  }

  /**
   * Removes a key whose work is known not to have run. Returns false if it has finished or is not
   * recorded.
   */
  release(key: string): boolean {
    if (this.#entries.get(key)?.finished !== undefined) return false;
    return this.#entries.delete(key);
  }

  #store(key: string, finished?: { readonly value: Value }): void {
    const expiresAt = this.#options.clock.now() + this.#options.retentionMilliseconds;
    this.#entries.delete(key);
    this.#entries.set(key, finished === undefined ? { expiresAt } : { expiresAt, finished });
  }

  #expire(): void {
    const now = this.#options.clock.now();
    for (const [key, { expiresAt }] of this.#entries) {
      if (expiresAt > now) return;
      this.#entries.delete(key);
    }
  }
}
