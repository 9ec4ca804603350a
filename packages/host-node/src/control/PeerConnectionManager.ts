import type { Logger } from '@hickorybridge/logger';
import type { HostDirectory, StoreWatchers } from '@hickorybridge/membership';
import type { PeerPool } from '@hickorybridge/peer-protocol';
import { connectionSizes, type HostSubset } from '@hickorybridge/routing';
import type { HostEntry } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';

/** What keeping connections with other nodes needs. */
export interface PeerConnectionManagerOptions {
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
const checkIntervalMilliseconds = 200;
const initialRetryDelayMilliseconds = 300;
/** A host that was lost for good is tried this often until its entry is removed. */
const maxRetryDelayMilliseconds = 4000;
interface RetryState {
  delayMilliseconds: number;
  retryAt: number;
}

/** Keeps connections open with the hosts that requests may be sent to, so that none waits for one. */
export class PeerConnectionManager {
  readonly #options: PeerConnectionManagerOptions;

  readonly #retries = new Map<string, RetryState>();

  constructor(options: PeerConnectionManagerOptions) {
    this.#options = options;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted) {
      for (const entry of this.#selectHosts()) this.#ensureConnected(entry);
      await clock.sleep(checkIntervalMilliseconds * (0.5 + random.next()), signal);
    }
  }

  #selectHosts(): HostEntry[] {
    const { directory, nodeId, subset, watchers } = this.#options;
    const isUsable = (entry: HostEntry) => entry.nodeId !== nodeId && !entry.leaving;
    const hosts = directory
      .services()
      .flatMap((service) =>
        subset.take(service, directory.ofService(service), connectionSizes, isUsable),
      );
    const watcherEntries = watchers.others().map((watcher) => directory.entry(watcher));
    return [...new Set([...hosts, ...watcherEntries.filter((entry) => entry !== undefined)])];
  }

  async #ensureConnected({ nodeId }: HostEntry): Promise<void> {
    const { clock, logger, pool } = this.#options;
    if (pool.isConnected(nodeId)) {
      this.#retries.delete(nodeId);
      return;
    }
    const retry = this.#retries.get(nodeId) ?? {
      delayMilliseconds: initialRetryDelayMilliseconds,
      retryAt: 0,
    };
    if (clock.now() < retry.retryAt) return;
    this.#retries.set(nodeId, {
      delayMilliseconds: Math.min(maxRetryDelayMilliseconds, retry.delayMilliseconds * 2),
      retryAt: clock.now() + retry.delayMilliseconds,
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
