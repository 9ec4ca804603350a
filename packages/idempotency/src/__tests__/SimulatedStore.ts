import type { PlatformStore, StoredObject, WriteOutcome } from '@hickorybridge/store';
import { fail, succeed } from '@hickorybridge/types';
import type { RandomSource } from '@hickorybridge/utils';

import type { SimulatedProcess } from './SimulatedProcess.js';

/** Faults of the store. */
export interface StoreFaults {
  isDown: boolean;
  delay: number;
  /** Share of writes that take effect although their answer is lost. */
  lostAnswers: number;
  /** Share of writes that are refused without reason. */
  refusals: number;
}

/** The platform's store in memory, with faults. */
export class SimulatedStore {
  readonly faults: StoreFaults = { isDown: false, delay: 1, lostAnswers: 0, refusals: 0 };

  readonly objects = new Map<string, StoredObject>();

  writes = 0;

  /** Is awaited before a write takes effect; lets a test act between collect and write. */
  beforeWrite: (() => Promise<void>) | undefined;

  constructor(readonly random: RandomSource) {}

  /** The store as one process sees it. */
  clientFor(process: SimulatedProcess): PlatformStore {
    return {
      read: async (key) => {
        await process.clock.sleep(this.faults.delay);
        if (this.faults.isDown) return fail({ type: 'store-unavailable', detail: 'down' });
        return succeed(this.objects.get(key));
      },
      writeConditional: async (key, value, expected) => {
        await process.clock.sleep(this.faults.delay);
        await this.beforeWrite?.();
        return this.#write(key, value, expected);
      },
      list: async () => succeed([...this.objects.values()]),
      watch: async () => fail({ type: 'store-unavailable', detail: 'not simulated' }),
      [Symbol.asyncDispose]: async () => {},
    };
  }

  #write(key: string, value: string, expected: number): WriteOutcome {
    if (this.faults.isDown) return { type: 'unknown', detail: 'down' };
    const current = this.objects.get(key);
    if ((current?.version ?? 0) !== expected) return { type: 'refused', current };
    if (this.random.next() < this.faults.refusals) return { type: 'refused', current };
    const version = expected + 1;
    this.objects.set(key, { key, value, version });
    this.writes += 1;
    if (this.random.next() < this.faults.lostAnswers) return { type: 'unknown', detail: 'lost' };
    return { type: 'done', version };
  }
}
