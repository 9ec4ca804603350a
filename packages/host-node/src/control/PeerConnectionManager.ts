import type { Logger } from '@hickorybridge/logger';
import type { HostDirectory, StoreWatchers } from '@hickorybridge/membership';
import type { PeerPool } from '@hickorybridge/peer-protocol';
import { connectionSubsetSizes, type HostSubset } from '@hickorybridge/routing';
import type { HostEntry } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';

export interface PeerConnectionManagerOptions {
  readonly nodeId: string;
  readonly directory: HostDirectory;
  readonly subset: HostSubset;
  /** Nodes of the region that watch the store on behalf of the others. */
  readonly watchers: StoreWatchers;
  readonly pool: PeerPool;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Mean interval between two checks for missing connections. */
const checkIntervalMilliseconds = 200;
const initialRetryDelayMilliseconds = 300;
/** Retry interval for a host that is lost for good, until its entry is removed. */
const maxRetryDelayMilliseconds = 4000;

interface RetryState {
  delayMilliseconds: number;
  retryAt: number;
}

/**
 * Keeps connections open to the hosts that requests may be sent to, so that no request waits for a
 * connection, and to the nodes that watch the store.
 */
export class PeerConnectionManager {
  readonly #options: PeerConnectionManagerOptions;

  readonly #retries = new Map<string, RetryState>();

  constructor(options: PeerConnectionManagerOptions) {
    this.#options = options;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted) {
      for (const entry of this.#selectPeers()) this.#ensureConnected(entry);
      await clock.sleep(checkIntervalMilliseconds * (0.5 + random.next()), signal);
    }
  }

  #selectPeers(): HostEntry[] {
    const { directory, nodeId, subset, watchers } = this.#options;
    const isUsable = (entry: HostEntry) => entry.nodeId !== nodeId && !entry.leaving;
    const hosts = directory
      .services()
      .flatMap((service) =>
        subset.select(service, directory.ofService(service), connectionSubsetSizes, isUsable),
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
      logger.warn('peer-unreachable', 'cannot connect to the node of a host; retrying', {
        host: nodeId,
        detail: opened.error.type === 'timeout' ? 'timeout' : opened.error.detail,
      });
    }
  }
}
