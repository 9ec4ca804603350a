import type { Logger } from '@hickorybridge/logger';
import { eraOf, type StoredObject, type WatchResult } from '@hickorybridge/store';
import type { HostEntry } from '@hickorybridge/types';

import { decodeHostEntry, hostKey } from './hostEntryCodec.js';

/** An entry and the version of the object that it was read from. */
interface KnownEntry {
  readonly entry: HostEntry;
  readonly version: number;
}

/** What a list of the store shows for a host. */
export interface ListedEntry {
  readonly entry: HostEntry | undefined;
  /** Version of the object; 0 if there is none. */
  readonly version: number;
  /** Revision of the store from which the list was read. */
  readonly revision: number;
}

const noEntries: readonly HostEntry[] = [];
/** After a restore of the store, hosts that are alive write their entries again within this time. */
const restoreGraceMilliseconds = 2000;

/** All hosts as the store lists them. */
export class HostDirectory {
  readonly #logger: Logger;

  readonly #known = new Map<string, KnownEntry>();

  /** Versions of objects that do not describe a host, by key. */
  readonly #unreadable = new Map<string, number>();

  readonly #listeners: (() => void)[] = [];

  /** The latest era in which entries from before it are still awaited. */
  #awaitedEra = 0;

  /** Revision of the store that was read last. */
  #revision = 0;

  #byService = new Map<string, readonly HostEntry[]>();

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  get size(): number {
    return this.#known.size;
  }

  /** Calls the listener after each change. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Takes in what has changed in the store. */
  apply(result: WatchResult): void {
    this.#revision = result.revision;
    const listed = new Set(result.changed.map(({ key }) => key));
    if (result.complete === true) {
      for (const key of [...this.#known.keys(), ...this.#unreadable.keys()]) {
        if (!listed.has(key) && !this.#isAwaited(key, result.revision)) this.#remove(key);
      }
    }
    for (const key of result.removed ?? []) this.#remove(key);
    for (const object of result.changed) this.#update(object, result.complete !== true);
    if (result.complete === true) {
      this.#logger.info('hosts-read', 'the whole list of hosts was read', {
        hosts: this.#known.size,
        unreadable: this.#unreadable.size,
        revision: result.revision,
      });
    }
    this.#publish();
  }

  entry(nodeId: string): HostEntry | undefined {
    return this.#known.get(hostKey(nodeId))?.entry;
  }

  /** What the store holds for a host: no entry if another writer left something unreadable. */
  stored(nodeId: string): ListedEntry {
    const key = hostKey(nodeId);
    const known = this.#known.get(key);
    const unreadableVersion = this.#unreadable.get(key);
    const revision = this.#revision;
    if (unreadableVersion !== undefined) {
      return { entry: undefined, version: unreadableVersion, revision };
    }
    return { entry: known?.entry, version: known?.version ?? 0, revision };
  }

  list(): HostEntry[] {
    return [...this.#known.values()].map(({ entry }) => entry);
  }

  /** Names the services that some host offers. */
  services(): string[] {
    return [...this.#byService.keys()];
  }

  /** Lists the hosts with a backend server of a service, those that leave included. */
  ofService(service: string): readonly HostEntry[] {
    return this.#byService.get(service) ?? noEntries;
  }

  #publish(): void {
    this.#byService = groupByService([...this.#known.values()].map(({ entry }) => entry));
    for (const listener of this.#listeners) listener();
  }

  /** Whether an entry was read before a restore of the store, and its host may still write it again. */
  #isAwaited(key: string, revision: number): boolean {
    const era = eraOf(revision);
    if (eraOf(this.#known.get(key)?.version ?? revision) >= era) return false;
    if (this.#awaitedEra === era) return true;
    this.#awaitedEra = era;
    setTimeout(() => this.#removeFromBefore(era), restoreGraceMilliseconds).unref();
    return true;
  }

  /** Removes the entries that were not written again after the restore that began an era. */
  #removeFromBefore(era: number): void {
    for (const [key, { version }] of this.#known) if (eraOf(version) < era) this.#remove(key);
    this.#publish();
  }

  #update(object: StoredObject, logsChange: boolean): void {
    const known = this.#known.get(object.key);
    // A copy that lags may list an older version than was read before.
    if (known !== undefined && known.version >= object.version) return;
    if ((this.#unreadable.get(object.key) ?? 0) >= object.version) return;
    const entry = decodeHostEntry(object.value);
    if (entry === undefined || hostKey(entry.nodeId) !== object.key) {
      // A good earlier entry stays in use until its host has restored it.
      this.#unreadable.set(object.key, object.version);
      this.#logger.warn('host-entry-ignored', 'an entry in the store describes no host', {
        key: object.key,
        version: object.version,
      });
      return;
    }
    this.#unreadable.delete(object.key);
    this.#known.set(object.key, { entry, version: object.version });
    if (!logsChange) return;
    this.#logger.info('host-listed', 'a host was added or has changed', {
      host: entry.nodeId,
      service: entry.service,
      backendServer: entry.backendServerId,
      leaving: entry.leaving,
      version: object.version,
    });
  }

  #remove(key: string): void {
    this.#unreadable.delete(key);
    const known = this.#known.get(key);
    if (known === undefined) return;
    this.#known.delete(key);
    this.#logger.info('host-removed', 'a host is not listed any more', {
      host: known.entry.nodeId,
      version: known.version,
    });
  }
}

function groupByService(entries: readonly HostEntry[]): Map<string, readonly HostEntry[]> {
  const groups = new Map<string, HostEntry[]>();
  for (const entry of entries) {
    const group = groups.get(entry.service);
    if (group === undefined) groups.set(entry.service, [entry]);
    else group.push(entry);
  }
  return groups;
}
