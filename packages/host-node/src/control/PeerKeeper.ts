import type { Logger } from '@hickorybridge/logger';
import type { HostDirectory, StoreWatchers } from '@hickorybridge/membership';
import type { PeerPool } from '@hickorybridge/peer-protocol';
import { connectionSizes, type HostSubset } from '@hickorybridge/routing';
import type { HostEntry } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';

/** What keeping connections with other nodes needs. */
export interface PeerKeeperOptions {
  readonly nodeId: string;
  readonly directory: HostDirectory;
  readonly subset: HostSubset;
  /** Nodes that follow the store for this one. */
  readonly watchers: StoreWatchers;
  readonly pool: PeerPool;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** How often missing connections are looked for, in milliseconds. */
const intervalMilliseconds = 200;
const firstRetryMilliseconds = 300;
/** A host that was lost for good is tried this often until its entry is removed. */
const longestRetryMilliseconds = 4000;
interface Retry {
  delay: number;
  at: number;
}

/** Keeps connections open with the hosts that requests may be sent to, so that none waits for one. */
export class PeerKeeper {
  readonly #options: PeerKeeperOptions;

  readonly #retries = new Map<string, Retry>();

  constructor(options: PeerKeeperOptions) {
    this.#options = options;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted) {
      for (const entry of this.#wanted()) this.#connect(entry);
      await clock.sleep(intervalMilliseconds * (0.5 + random.next()), signal);
    }
  }

  #wanted(): HostEntry[] {
    const { directory, nodeId, subset, watchers } = this.#options;
    const usable = (entry: HostEntry) => entry.nodeId !== nodeId && !entry.leaving;
    const hosts = directory
      .services()
      .flatMap((service) =>
        subset.select(service, directory.ofService(service), connectionSizes, usable),
      );
    const watching = watchers.others().map((watcher) => directory.entry(watcher));
    return [...new Set([...hosts, ...watching.filter((entry) => entry !== undefined)])];
  }

  async #connect({ nodeId }: HostEntry): Promise<void> {
    const { clock, logger, pool } = this.#options;
    if (pool.isConnected(nodeId)) {
      this.#retries.delete(nodeId);
      return;
    }
    const retry = this.#retries.get(nodeId) ?? { delay: firstRetryMilliseconds, at: 0 };
    if (clock.now() < retry.at) return;
    this.#retries.set(nodeId, {
      delay: Math.min(longestRetryMilliseconds, retry.delay * 2),
      at: clock.now() + retry.delay,
    });
    const opened = await pool.open(nodeId);
    if (!opened.ok) {
      logger.warn('peer-unreachable', 'no connection with the node of a host; tried again', {
        host: nodeId,
        detail: opened.error.type === 'timeout' ? 'timeout' : opened.error.detail,
      });
    }
  }
}
