import type { StandInObjectStore } from '@hickorybridge/stand-ins';
import { setTimeout as sleep } from 'node:timers/promises';

import type { RouteTimeouts } from '../callers/RouteTimeouts.js';
import type { EventRecord } from '../record/EventRecord.js';
import { configurationOf, loopback } from './meshFiles.js';
import { removedKey } from './meshTenants.js';

/** What the store of a deployment needs. */
export interface MeshStoreOptions {
  readonly store: StandInObjectStore;
  readonly port: number;
  readonly record: EventRecord;
  readonly timeouts: RouteTimeouts;
  /** Whether the deployment has tenants. */
  readonly tenants: boolean;
}

const unavailable = 503;

/** The store of a deployment, with the operator that writes configurations and its faults. */
export class MeshStore implements AsyncDisposable {
  readonly #options: MeshStoreOptions;

  #version = 0;

  readonly #removedKeys = new Set<string>();

  /** Disturbances that overlap end with the last of them. */
  #disturbances = 0;

  constructor(options: MeshStoreOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    this.configure(1, 0);
    await this.#listen();
  }

  /** Writes a new configuration, as the operator does. */
  configure(timeoutFactor: number, extraRoutes: number): void {
    const { record, store, tenants, timeouts } = this.#options;
    this.#version += 1;
    timeouts.change(timeoutFactor);
    const configuration = configurationOf({
      version: this.#version,
      timeouts: timeouts.current,
      extraRoutes,
      removedKeys: tenants ? this.#removedKeys : undefined,
    });
    store.put('config', 'main', configuration);
    record.add({ type: 'configuration', version: this.#version });
  }

  /** Writes a configuration in which a tenant no longer holds one of its keys. */
  removeKey(): void {
    this.#removedKeys.add(removedKey);
    this.configure(1, 0);
    this.#options.record.add({ type: 'key-removed', key: removedKey });
  }

  async disturb(state: 'absent' | 'down' | 'refusing', milliseconds: number): Promise<void> {
    const { record, store } = this.#options;
    this.#disturbances += 1;
    record.add({ type: 'store', state });
    if (state === 'absent') await store.stop();
    store.faults.down = state === 'down';
    store.faults.refuseWith = state === 'refusing' ? unavailable : undefined;
    await sleep(milliseconds);
    this.#disturbances -= 1;
    if (this.#disturbances > 0) return;
    store.faults.down = false;
    store.faults.refuseWith = undefined;
    await this.#listen();
    record.add({ type: 'store', state: 'up' });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#disturbances += 1;
    await this.#options.store.stop();
  }

  async #listen(): Promise<void> {
    const { port, store } = this.#options;
    if (!store.listening) await store.start({ host: loopback, port });
  }
}
