import type { Logger } from '@hickorybridge/logger';
import type { PlatformStore, StoredObject } from '@hickorybridge/store';
import type { Clock } from '@hickorybridge/utils';
import { type RoleAssignment, RoleName } from './RoleAssignment.js';
import { rosterPrefix } from './RosterWriter.js';

/** Prefixes of the objects that take effect at once. */
export const deploymentPrefix = 'deployment/';
export const verdictPrefix = 'verdicts/';

/** Settings of the store watcher. */
export interface StoreWatcherOptions {
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly roles: RoleAssignment;
  /**
   * Revision at which this node has read all objects once. A watch from there does not deliver them
   * again, which would carry each object over the link once more for each watcher.
   */
  readonly startRevision: () => number;
  /** Takes the objects that have changed. */
  readonly onObjects: (objects: readonly StoredObject[]) => void;
}

/** A pending watch counts as one call, so a longer wait means fewer calls. */
const watchMilliseconds = 20_000;

const roleCheckMilliseconds = 1000;

/**
 * Rosters only join fleets that do not know each other, so they are looked at rarely: they are
 * large, and peers spread their content faster.
 */
const firstRosterIntervalMilliseconds = 1000;
const maximumRosterIntervalMilliseconds = 60_000;

/** Watches the store on behalf of the failure domain, while this node has that role. */
export class StoreWatcher {
  readonly #options: StoreWatcherOptions;

  constructor(options: StoreWatcherOptions) {
    this.#options = options;
  }

  /**
   * Watches the objects under a prefix until the signal aborts. `holds` tells whether that is this
   * node's duty at the moment.
   */
  async watch(prefix: string, holds: () => boolean, signal: AbortSignal): Promise<void> {
    const { clock, store } = this.#options;
    let revision: number | undefined;
    while (!signal.aborted) {
      if (!holds()) {
        await clock.sleep(roleCheckMilliseconds, signal);
        continue;
      }
      revision ??= this.#options.startRevision();
      const result = await store.watch(prefix, revision, watchMilliseconds, signal);
      if (signal.aborted) return;
      if (!result.ok) {
        this.#logFailure(prefix, result.error.detail);
        continue;
      }
      // A store that was restored from a copy may count from a lower revision again.
      revision = result.value.revision < revision ? 0 : result.value.revision;
      this.#options.onObjects(result.value.changed);
    }
  }

  /** Looks for changed rosters, at growing intervals, until the signal aborts. */
  async lookAtRosters(signal: AbortSignal): Promise<void> {
    const { clock, store, roles } = this.#options;
    let interval = firstRosterIntervalMilliseconds;
    let revision = 0;
    while (!signal.aborted) {
      await clock.sleep(interval, signal);
      if (signal.aborted) return;
      if (!roles.holds(RoleName.storeWatcher)) {
        interval = firstRosterIntervalMilliseconds;
        continue;
      }
      interval = Math.min(interval * 2, maximumRosterIntervalMilliseconds);
      const result = await store.watch(rosterPrefix, revision, 1, signal);
      if (!result.ok) continue;
      revision = result.value.revision < revision ? 0 : result.value.revision;
      this.#options.onObjects(result.value.changed);
    }
  }

  #logFailure(prefix: string, detail: string): void {
    this.#options.logger.debug('store-watch-failed', `watching ${prefix} failed: ${detail}`, {
      prefix,
    });
  }
}
