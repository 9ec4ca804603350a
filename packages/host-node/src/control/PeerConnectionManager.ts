import type { Logger } from '@hickorybridge/logger';
import type { HostDirectory, StoreWatchers } from '@hickorybridge/membership';
import type { PeerPool } from '@hickorybridge/peer-protocol';
import {
  connectionSubsetSizes,
  isInAllowedRegion,
  type HostSubset,
  type RegionSet,
} from '@hickorybridge/routing';
import type { HostEntry } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';

export interface PeerConnectionManagerOptions {
  readonly nodeId: string;
  readonly directory: HostDirectory;
  readonly subset: HostSubset;
  /** The restrictions to regions that requests for a service may have, without duplicates. */
  readonly regionSetsOf: (service: string) => readonly RegionSet[];
  /** Whether no request may reach the backend servers of a failure domain. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** Nodes of the region that watch the store on behalf of the others. */
  readonly watchers: StoreWatchers;
  /** Nodes of all regions that grant tokens of the tenants' limits; empty without limits. */
  readonly quotaBrokers: () => readonly string[];
  readonly pool: PeerPool;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Shortest mean interval between two checks. */
const checkIntervalMilliseconds = 200;
/** Longest one; a lost connection and a change of the hosts end it. */
const restIntervalMilliseconds = 2000;
const maxWakeDelayMilliseconds = 200;
const initialRetryDelayMilliseconds = 300;
/** Retry interval for a host that is lost for good, until its entry is removed. */
const maxRetryDelayMilliseconds = 4000;
/** After this many failed attempts, another host takes the place of an unreachable one. */
const replacedAfterFailures = 2;

interface RetryState {
  failures: number;
  isOpening: boolean;
  delayMilliseconds: number;
  retryAt: number;
}

/**
 * Keeps connections open to the hosts that requests may be sent to, so that no request waits for a
 * connection, to the nodes that watch the store, and to those that grant tokens of limits.
 */
export class PeerConnectionManager {
  readonly #options: PeerConnectionManagerOptions;

  readonly #retries = new Map<string, RetryState>();

  #wake = new AbortController();

  constructor(options: PeerConnectionManagerOptions) {
    this.#options = options;
  }

  /** Checks the connections soon, because one was lost or the hosts have changed. */
  wake(): void {
    this.#wake.abort();
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    signal.addEventListener('abort', () => this.wake(), { once: true });
    while (!signal.aborted) {
      const peers = this.#selectPeers();
      for (const entry of peers) this.#ensureConnected(entry);
      this.#forgetUnlisted();
      await clock.sleep(this.#untilNextCheck(peers), this.#wake.signal);
      if (!this.#wake.signal.aborted) continue;
      this.#wake = new AbortController();
      // Nodes that lose the same peer do not connect to its substitute all at once.
      await clock.sleep(maxWakeDelayMilliseconds * random.next(), signal);
    }
  }

  /** Time until a missing connection is tried again, or until all are checked again. */
  #untilNextCheck(peers: readonly HostEntry[]): number {
    const { clock, pool, random } = this.#options;
    const missing = peers.filter(({ nodeId }) => !pool.isConnected(nodeId));
    const retryTimes = missing.map(({ nodeId }) => this.#retries.get(nodeId)?.retryAt ?? 0);
    const untilRetry = Math.min(...retryTimes, Infinity) - clock.now();
    const interval = Math.min(restIntervalMilliseconds, untilRetry);
    return Math.max(checkIntervalMilliseconds, interval) * (0.5 + random.next());
  }

  #forgetUnlisted(): void {
    for (const nodeId of this.#retries.keys()) {
      if (this.#options.directory.entry(nodeId) === undefined) this.#retries.delete(nodeId);
    }
  }

  /** Selects the hosts of the subset, with others in the place of those that are unreachable. */
  #selectPeers(): HostEntry[] {
    const { directory, isEvacuated, nodeId, quotaBrokers, regionSetsOf, subset, watchers } =
      this.#options;
    const isUsable = (entry: HostEntry) => entry.nodeId !== nodeId && !entry.leaving;
    const isPromising = (entry: HostEntry) =>
      isUsable(entry) &&
      !isEvacuated(entry.location.failureDomain) &&
      (this.#retries.get(entry.nodeId)?.failures ?? 0) < replacedAfterFailures;
    const selectEach = (isEligible: (entry: HostEntry) => boolean) =>
      directory.services().flatMap((service) =>
        // Requests that are restricted to other regions need as many hosts there as others need here.
        [undefined, ...regionSetsOf(service)].flatMap((regions) =>
          subset.select(
            service,
            directory.ofService(service),
            connectionSubsetSizes,
            (entry) => isInAllowedRegion(entry, regions) && isEligible(entry),
          ),
        ),
      );
    const brokers = quotaBrokers().filter((broker) => broker !== nodeId);
    const controlEntries = [...watchers.others(), ...brokers].map((peer) => directory.entry(peer));
    return [
      ...new Set([
        ...selectEach(isPromising),
        // These are still tried now and then, because they may come back, and connections to evacuated
        // hosts are kept, because the evacuation may be withdrawn.
        ...selectEach(isUsable),
        ...controlEntries.filter((entry) => entry !== undefined),
      ]),
    ];
  }

  async #ensureConnected({ nodeId }: HostEntry): Promise<void> {
    const { clock, logger, pool } = this.#options;
    if (pool.isConnected(nodeId)) {
      this.#retries.delete(nodeId);
      return;
    }
    const retry = this.#retries.get(nodeId) ?? {
      failures: 0,
      isOpening: false,
      delayMilliseconds: initialRetryDelayMilliseconds,
      retryAt: 0,
    };
    if (retry.isOpening || clock.now() < retry.retryAt) return;
    retry.isOpening = true;
    retry.retryAt = clock.now() + retry.delayMilliseconds;
    retry.delayMilliseconds = Math.min(maxRetryDelayMilliseconds, retry.delayMilliseconds * 2);
    this.#retries.set(nodeId, retry);
    const opened = await pool.open(nodeId);
    retry.isOpening = false;
    if (opened.ok) return;
    retry.failures += 1;
    logger.warn('peer-unreachable', 'cannot connect to the node of a host; retrying', {
      host: nodeId,
      detail: opened.error.type === 'timeout' ? 'timeout' : opened.error.detail,
    });
  }
}
