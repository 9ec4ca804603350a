import type { Logger } from '@hickorybridge/logger';
import type { HostDirectory } from '@hickorybridge/membership';
import type { PeerPool } from '@hickorybridge/peer-protocol';
import { distanceBetween, Distance, type HostEntry, type Location } from '@hickorybridge/types';
import { rendezvousOrder, type Clock, type RandomSource } from '@hickorybridge/utils';

/** What keeping connections with other nodes needs. */
export interface PeerKeeperOptions {
  readonly nodeId: string;
  readonly location: Location;
  readonly directory: HostDirectory;
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
/** Connections with hosts of one service in other regions; each is used when near ones are full. */
const farHostsPerService = 6;
/** Connections with hosts of one service in the own region. */
const nearHostsPerService = 24;

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

  /** The hosts to keep connections with: near ones, and some far ones of each service. */
  #wanted(): HostEntry[] {
    const { directory, location, nodeId } = this.#options;
    const services = new Set(directory.list().map(({ service }) => service));
    return [...services].flatMap((service) => {
      const others = directory
        .ofService(service)
        .filter((entry) => entry.nodeId !== nodeId && !entry.leaving);
      const isFar = (entry: HostEntry) =>
        distanceBetween(location, entry.location) === Distance.otherRegion;
      const near = others.filter((entry) => !isFar(entry));
      return [
        ...this.#chooseSome(near, nearHostsPerService),
        ...this.#chooseSome(others.filter(isFar), farHostsPerService),
      ];
    });
  }

  #chooseSome(entries: readonly HostEntry[], count: number): readonly HostEntry[] {
    if (entries.length <= count) return entries;
    const names = entries.map(({ nodeId }) => nodeId);
    const chosen = new Set(rendezvousOrder(this.#options.nodeId, names).slice(0, count));
    return entries.filter(({ nodeId }) => chosen.has(nodeId));
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
