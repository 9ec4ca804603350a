/* eslint-disable class-methods-use-this -- the interface has methods that need no state here. */
import { fail, succeed } from '@hickorybridge/types';
import type { PlatformStore, StoredObject, WriteOutcome } from '@hickorybridge/store';

/** A store in memory whose next write can be disturbed. */
export class MemoryStore implements PlatformStore {
  readonly objects = new Map<string, StoredObject>();

  down = false;

  /** Takes the place of the next write; the write itself is passed to it. */
  disturbance: ((write: () => WriteOutcome) => WriteOutcome) | undefined;

  async read(key: string) {
    if (this.down) return fail({ type: 'store-unavailable' as const, detail: 'store is down' });
    return succeed(this.objects.get(key));
  }

  async writeConditional(key: string, value: string, expectedVersion: number) {
    const write = () => this.put(key, value, expectedVersion);
    const { disturbance } = this;
    this.disturbance = undefined;
    return disturbance === undefined ? write() : disturbance(write);
  }

  put(key: string, value: string, expectedVersion: number): WriteOutcome {
    const current = this.objects.get(key);
    const version = current?.version ?? 0;
    if (version !== expectedVersion) return { type: 'refused', current };
    this.objects.set(key, { key, value, version: version + 1 });
    return { type: 'done', version: version + 1 };
  }

  async list(prefix: string) {
    if (this.down) return fail({ type: 'store-unavailable' as const, detail: 'store is down' });
    return succeed([...this.objects.values()].filter((object) => object.key.startsWith(prefix)));
  }

  readonly watch = async () => succeed({ revision: 0, changed: [] });

  readonly [Symbol.asyncDispose] = async () => {};
}
