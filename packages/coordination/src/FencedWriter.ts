import type { Clock } from '@hickorybridge/utils';
import { conditionalUpdate } from './conditionalUpdate.js';
import type { ConditionalStore } from './conditionalStore.js';

/** Stored form of an object that is protected by a fencing token. */
export interface FencedValue {
  readonly token: number;
  /**
   * Unique for each write, so that the outcome of a write whose answer was lost can be resolved.
   */
  readonly writeId: string;
  /** Any JSON value. */
  readonly content: unknown;
}

/** Options of {@link FencedWriter}. */
export interface FencedWriterOptions {
  readonly store: ConditionalStore;
  readonly key: string;
  readonly clock: Pick<Clock, 'sleep'>;
  /** Returns an identifier that no other write uses. */
  readonly createWriteId: () => string;
}

/**
 * Outcome of a fenced write. `fenced` means that a newer holder has written: the caller must step
 * down.
 */
export type FencedWriteOutcome =
  | { readonly type: 'done' }
  | { readonly type: 'fenced'; readonly token: number }
  | { readonly type: 'unavailable'; readonly detail: string };

const maxAttempts = 4;

/**
 * Writes an object that only the holder of a lease may write. The conditional update fails for a
 * writer that has not read the newest version, and a writer that reads a greater token stops. So a
 * paused holder can't overwrite the data of its successor, even if it still considers its lease
 * valid.
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
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (this.#version === undefined) {
        const failure = await this.#readVersion(token);
        if (failure !== undefined) return failure;
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
    return {
      type: 'unavailable',
      detail: `${key} changed during each of ${maxAttempts} write attempts`,
    };
  }

  async #readVersion(token: number): Promise<FencedWriteOutcome | undefined> {
    const read = await this.#options.store.read(this.#options.key);
    if (!read.ok) return { type: 'unavailable', detail: read.error.detail };
    const current = read.value === undefined ? undefined : parseFencedValue(read.value.value);
    if (current !== undefined && current.token > token) {
      return { type: 'fenced', token: current.token };
    }
    this.#version = read.value?.version ?? 0;
    return undefined;
  }
}

/** Parses a fenced object; `undefined` if it is malformed. */
export function parseFencedValue(text: string): FencedValue | undefined {
  try {
    const value = JSON.parse(text) as Partial<FencedValue> | null;
    if (typeof value?.token !== 'number' || typeof value.writeId !== 'string') return undefined;
    return { token: value.token, writeId: value.writeId, content: value.content };
  } catch {
    return undefined;
  }
}
