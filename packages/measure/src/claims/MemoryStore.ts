import type { PlatformStore, StoredObject, WriteOutcome } from '@hickorybridge/store';
import { fail, succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';
import { systemClock } from '@hickorybridge/utils';

/** A store in memory that takes the same real time for each call. */
export class MemoryStore implements PlatformStore {
  readonly #delay: number;

  readonly #objects = new Map<string, StoredObject>();

  constructor(delayMilliseconds: number) {
    this.#delay = delayMilliseconds;
  }

  async read(key: string): Promise<Result<StoredObject | undefined, never>> {
    await systemClock.sleep(this.#delay);
    return succeed(this.#objects.get(key));
  }

  async writeConditional(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<WriteOutcome> {
    await systemClock.sleep(this.#delay);
    const current = this.#objects.get(key);
    if ((current?.version ?? 0) !== expectedVersion) return { type: 'refused', current };
    const version = expectedVersion + 1;
    this.#objects.set(key, { key, value, version });
    return { type: 'done', version };
  }

  async list(): Promise<Result<readonly StoredObject[], never>> {
    return succeed([...this.#objects.values()]);
  }

  async watch(): ReturnType<PlatformStore['watch']> {
    await systemClock.sleep(this.#delay);
    return fail({ type: 'store-unavailable', detail: 'this store has no watches' });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#objects.clear();
  }
}
