import type { Clock } from '@hickorybridge/utils';
import { conditionalUpdate } from './conditionalUpdate.js';
import type { ConditionalStore } from './conditionalStore.js';

/** What the store holds for an object that a fencing token protects. */
export interface FencedValue {
  readonly token: number;
  /** Unique for each write, so that a lost answer can be resolved. */
  readonly writeId: string;
  /** Any JSON value. */
  readonly content: unknown;
}

/** Settings of the writer of one object. */
export interface FencedWriterOptions {
  readonly store: ConditionalStore;
  readonly key: string;
  readonly clock: Pick<Clock, 'sleep'>;
  /** Gives a name that no other write uses. */
  readonly createWriteId: () => string;
}

/** How a fenced write ended. After `fenced` a newer holder has written: step down. */
export type FencedWriteOutcome =
  | { readonly type: 'done' }
  | { readonly type: 'fenced'; readonly token: number }
  | { readonly type: 'unavailable'; readonly detail: string };

const maximumTries = 4;

/**
 * Writes an object that only the holder of a lease may write. The store's conditional update
 * refuses a writer that has not seen the newest version, and a writer that finds a greater token
 * stops. So a holder that was paused does no harm, whatever it believes about its lease.
 */
export class FencedWriter {
  readonly #options: FencedWriterOptions;

  #version: number | undefined;

  constructor(options: FencedWriterOptions) {
    this.#options = options;
  }

  /** Writes `content` under a fencing token. */
  async write(token: number, content: unknown): Promise<FencedWriteOutcome> {
    const { store, key, clock, createWriteId } = this.#options;
    for (let count = 0; count < maximumTries; count += 1) {
      if (this.#version === undefined) {
        const stopped = await this.#readVersion(token);
        if (stopped !== undefined) return stopped;
      }
      const value: FencedValue = { token, writeId: createWriteId(), content };
      const outcome = await conditionalUpdate({
        store,
        key,
        value: JSON.stringify(value),
        expectedVersion: this.#version ?? 0,
        isOwn: (text) => parseFencedValue(text)?.writeId === value.writeId,
        clock,
      });
      this.#version = outcome.type === 'done' ? outcome.version : undefined;
      if (outcome.type === 'done') return { type: 'done' };
      if (outcome.type === 'unknown') return { type: 'unavailable', detail: outcome.detail };
    }
    return { type: 'unavailable', detail: `${key} changed during each of ${maximumTries} tries` };
  }

  async #readVersion(token: number): Promise<FencedWriteOutcome | undefined> {
    const read = await this.#options.store.read(this.#options.key);
    if (!read.ok) return { type: 'unavailable', detail: read.error.detail };
    const standing = read.value === undefined ? undefined : parseFencedValue(read.value.value);
    if (standing !== undefined && standing.token > token) {
      return { type: 'fenced', token: standing.token };
    }
    this.#version = read.value?.version ?? 0;
    return undefined;
  }
}

/** Reads a fenced object from the store's text; `undefined` when it is malformed. */
export function parseFencedValue(text: string): FencedValue | undefined {
  try {
    const value = JSON.parse(text) as Partial<FencedValue> | null;
    if (typeof value?.token !== 'number' || typeof value.writeId !== 'string') return undefined;
    return { token: value.token, writeId: value.writeId, content: value.content };
  } catch {
    return undefined;
  }
}
