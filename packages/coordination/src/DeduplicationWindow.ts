import type { Clock } from '@hickorybridge/utils';

/** Settings of a window. */
export interface DeduplicationWindowOptions {
  /** Time for which a key is remembered after its last change, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Keys that are remembered at most. */
  readonly capacity: number;
  readonly clock: Pick<Clock, 'now'>;
}

/** Whether work may be done. Only `new` permits it. */
export type BeginOutcome<Value> =
  | { readonly type: 'new' }
  /** The same work was begun; whether it will finish is not known. */
  | { readonly type: 'begun' }
  | { readonly type: 'finished'; readonly value: Value }
  /** Nothing can be remembered, so nothing may be begun. */
  | { readonly type: 'full' };

interface HeldKey<Value> {
  readonly expiresAt: number;
  readonly finished?: { readonly value: Value };
}

/**
 * Remembers which keys were begun, so that no work is done twice within the window. A full window
 * permits nothing: dropping a key that is still to be remembered would permit a second run.
 */
export class DeduplicationWindow<Value> {
  readonly #options: DeduplicationWindowOptions;

  /** In the order of expiry, since each change moves a key to the end. */
  readonly #held = new Map<string, HeldKey<Value>>();

  constructor(options: DeduplicationWindowOptions) {
    this.#options = options;
  }

  /** Gives the number of keys that are remembered. */
  get size(): number {
    this.#expire();
    return this.#held.size;
  }

  /** Asks for permission to do the work of a key, and remembers the key if it is given. */
  begin(key: string): BeginOutcome<Value> {
    this.#expire();
    const held = this.#held.get(key);
    if (held?.finished !== undefined) return { type: 'finished', value: held.finished.value };
    if (held !== undefined) return { type: 'begun' };
    if (this.#held.size >= this.#options.capacity) return { type: 'full' };
    this.#hold(key);
    return { type: 'new' };
  }

  /** Keeps the result of finished work. False when the key is no longer remembered. */
  finish(key: string, value: Value): boolean {
    this.#expire();
    if (!this.#held.has(key)) return false;
    this.#hold(key, { value });
    return true;
  }

  /** Forgets a key whose work is proven not to have run. False when it has finished. */
  release(key: string): boolean {
    if (this.#held.get(key)?.finished !== undefined) return false;
    return this.#held.delete(key);
  }

  #hold(key: string, finished?: { readonly value: Value }): void {
    const expiresAt = this.#options.clock.now() + this.#options.retentionMilliseconds;
    this.#held.delete(key);
    this.#held.set(key, finished === undefined ? { expiresAt } : { expiresAt, finished });
  }

  #expire(): void {
    const now = this.#options.clock.now();
    for (const [key, { expiresAt }] of this.#held) {
      if (expiresAt > now) return;
      this.#held.delete(key);
    }
  }
}
