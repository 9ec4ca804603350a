import type { Clock } from './clock.js';
import { ConnectionShare, type AccountedConnection, type ShareHolder } from './ConnectionShare.js';

/** Why the account closes a connection; the values are used in metric labels and logs. */
export const EvictionReason = {
  /** The memory held for all connections exceeds the limit. */
  memory: 'memory',
  /** The listener has as many connections as it may have. */
  connections: 'connections',
  /** More bodies than allowed make no progress. */
  stalled: 'stalled',
} as const;

export type EvictionReason = (typeof EvictionReason)[keyof typeof EvictionReason];

export interface ConnectionAccountOptions {
  /** Bytes that all connections together may hold. */
  readonly maxBytes: number;
  /** Connections that each listener may have, by its name. */
  readonly maxConnections: Readonly<Record<string, number>>;
  /** Requests that may be read, in sum, while earlier ones of their connection are open. */
  readonly maxWaitingRequests: number;
  /** Bodies that may make no progress without being closed. */
  readonly maxStalledBodies: number;
  readonly onEvicted?: (listener: string, reason: EvictionReason) => void;
  readonly clock: Clock;
}

/** Memory of a connection that holds nothing else: its socket, streams and parser. */
const connectionBytes = 8 * 1024;
/** Below this, a difference in transferred bytes says nothing about a connection. */
const transferUnitBytes = 4 * 1024;
/** After an eviction, so that not each further byte causes another one. */
const remainingShare = 0.9;
const tickMilliseconds = 500;
/** A body that received less in a tick makes no progress. */
const minProgressBytes = 512;
const stalledTicks = 2;
const recentDecay = 0.5;

/**
 * Accounts for the memory that clients make this process hold, and for their connections. When a
 * limit is reached, it closes the connections that hold the most and transfer the least.
 */
export class ConnectionAccount implements ShareHolder, AsyncDisposable {
  readonly #options: ConnectionAccountOptions;

  readonly #shares = new Set<ConnectionShare>();

  readonly #counts = new Map<string, number>();

  readonly #timer: NodeJS.Timeout;

  #heldBytes = 0;

  #waitingRequests = 0;

  #isEvicting = false;

  constructor(options: ConnectionAccountOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.tick(), tickMilliseconds);
    this.#timer.unref();
  }

  /** Bytes held for all connections. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Open connections by the name of their listener. */
  get counts(): ReadonlyMap<string, number> {
    return this.#counts;
  }

  /** Whether requests may be read that wait for earlier ones of their connection. */
  get mayReadAhead(): boolean {
    return this.#waitingRequests < this.#options.maxWaitingRequests;
  }

  addWaitingRequests(count: number): void {
    this.#waitingRequests += count;
  }

  now(): number {
    return this.#options.clock.now();
  }

  /** Adds a connection; `undefined` if there is no room and none can be closed for it. */
  open(listener: string, connection: AccountedConnection): ConnectionShare | undefined {
    const maximum = this.#options.maxConnections[listener] ?? Infinity;
    if (this.#countOf(listener) >= maximum && !this.#makeRoom(listener)) return undefined;
    const share = new ConnectionShare(this, listener, connection, this.now());
    this.#shares.add(share);
    this.#counts.set(listener, this.#countOf(listener) + 1);
    this.add(share, connectionBytes);
    return share;
  }

  /** Adds to what a connection holds. */
  add(share: ConnectionShare, bytes: number): void {
    if (!this.#shares.has(share)) return;
    this.#heldBytes += bytes;
    if (this.#heldBytes > this.#options.maxBytes) this.#evictHolders();
  }

  remove(share: ConnectionShare): void {
    if (!this.#shares.delete(share)) return;
    this.#heldBytes -= connectionBytes + share.heldBytes;
    this.#counts.set(share.listener, this.#countOf(share.listener) - 1);
  }

  /** Samples the connections and closes bodies that make no progress; called by a timer. */
  tick(): void {
    const stalled: ConnectionShare[] = [];
    for (const share of this.#shares) {
      share.connection.sample?.();
      const hasStopped = share.receivedSinceTick < minProgressBytes && share.connection.awaitsBody;
      share.ticksWithoutProgress = hasStopped ? share.ticksWithoutProgress + 1 : 0;
      if (share.ticksWithoutProgress >= stalledTicks) stalled.push(share);
      share.receivedSinceTick = 0;
      share.recentBytes *= recentDecay;
    }
    const excess = stalled.length - this.#options.maxStalledBodies;
    if (excess <= 0) return;
    stalled.sort((first, second) => second.ticksWithoutProgress - first.ticksWithoutProgress);
    for (const share of stalled.slice(0, excess)) this.#evict(share, EvictionReason.stalled);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
  }

  #countOf(listener: string): number {
    return this.#counts.get(listener) ?? 0;
  }

  #makeRoom(listener: string): boolean {
    const now = this.now();
    let victim: ConnectionShare | undefined;
    let highest = 0;
    for (const share of this.#shares) {
      if (share.listener !== listener || share.connection.isBusy) continue;
      const score = (now - share.transferredAt) * weightOf(share);
      if (victim !== undefined && score <= highest) continue;
      victim = share;
      highest = score;
    }
    if (victim === undefined) return false;
    this.#evict(victim, EvictionReason.connections);
    return true;
  }

  #evictHolders(): void {
    // Closing a connection changes what it holds.
    if (this.#isEvicting) return;
    this.#isEvicting = true;
    const target = this.#options.maxBytes * remainingShare;
    const order = [...this.#shares].sort((first, second) => weightOf(second) - weightOf(first));
    for (const share of order) {
      if (this.#heldBytes <= target) break;
      this.#evict(share, EvictionReason.memory);
    }
    this.#isEvicting = false;
  }

  #evict(share: ConnectionShare, reason: EvictionReason): void {
    this.remove(share);
    this.#options.onEvicted?.(share.listener, reason);
    share.connection.close(reason);
  }
}

/** How much a connection holds for what it transfers. */
function weightOf({ heldBytes, recentBytes }: ConnectionShare): number {
  return (connectionBytes + heldBytes) / (transferUnitBytes + recentBytes);
}
