import type { Clock } from '@hickorybridge/utils';
import type { ConditionalStore, VersionedObject } from './conditionalStore.js';
import { conditionalUpdate } from './conditionalUpdate.js';

/** Lease record in the store. */
export interface LeaseRecord {
  readonly holder: string;
  /** Fencing token; increases by one with each new holder. */
  readonly token: number;
  readonly durationMilliseconds: number;
  /**
   * Unique for each write, so that the outcome of a write whose answer was lost can be resolved.
   */
  readonly writeId: string;
}

/** Options of {@link FencedLease}. */
export interface FencedLeaseOptions {
  readonly store: ConditionalStore;
  /** Key of the lease in the store. */
  readonly key: string;
  /** Unique name of this candidate; a restarted process needs a new name. */
  readonly holder: string;
  readonly durationMilliseconds: number;
  readonly clock: Clock;
  /** Returns an identifier that no other write uses. */
  readonly createWriteId: () => string;
}

/** Outcome of an attempt to acquire or renew the lease. */
export type LeaseStatus =
  | { readonly type: 'held'; readonly token: number }
  | { readonly type: 'held-by-other'; readonly holder: string; readonly token: number }
  | { readonly type: 'unavailable'; readonly detail: string };

/**
 * Ratio of the duration after which the holder stops relying on the lease, before another may
 * acquire it.
 */
const safeDurationRatio = 0.8;

/**
 * A lease with a fencing token, kept in a store by conditional updates. A candidate acquires the
 * lease after it has observed the same version for the whole duration by its own monotonic clock,
 * so wall clocks need not agree. A `token` may already be outdated when it is used, for example
 * after the process was paused, so the protected resource must refuse older tokens.
 */
export class FencedLease {
  readonly #options: FencedLeaseOptions;

  #lastObserved: { readonly version: number; readonly at: number } | undefined;

  #held:
    { readonly token: number; readonly version: number; readonly validUntil: number } | undefined;

  constructor(options: FencedLeaseOptions) {
    this.#options = options;
  }

  /** Fencing token while the lease is valid by the local clock; `undefined` otherwise. */
  get token(): number | undefined {
    if (this.#held === undefined) return undefined;
    return this.#options.clock.now() < this.#held.validUntil ? this.#held.token : undefined;
  }

  /**
   * Renews the lease if it is held, and otherwise acquires it if it is free or expired. Makes at
   * most two store calls unless a write is refused or its outcome is unknown.
   */
  async acquireOrRenew(): Promise<LeaseStatus> {
    if (this.#held !== undefined) {
      const { token, version } = this.#held;
      return this.#write(token, version);
    }
    const read = await this.#options.store.read(this.#options.key);
    if (!read.ok) return { type: 'unavailable', detail: read.error.detail };
    return this.#tryAcquire(read.value);
  }

  /** Releases the lease, so that another candidate need not wait for it to expire. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    if (held === undefined) return;
    const record = this.#makeRecord(held.token, 0);
    await this.#options.store.writeConditional(
      this.#options.key,
      JSON.stringify(record),
      held.version,
    );
  }

  async #tryAcquire(current: VersionedObject | undefined): Promise<LeaseStatus> {
    if (current === undefined) return this.#write(1, 0);
    const record = parseLeaseRecord(current.value);
    if (record === undefined) {
      return { type: 'unavailable', detail: `lease record ${this.#options.key} is malformed` };
    }
    if (record.holder === this.#options.holder) return this.#write(record.token, current.version);
    const now = this.#options.clock.now();
    if (this.#lastObserved?.version !== current.version)
      this.#lastObserved = { version: current.version, at: now };
    const isExpired = now - this.#lastObserved.at >= record.durationMilliseconds;
    if (isExpired) return this.#write(record.token + 1, current.version);
    return { type: 'held-by-other', holder: record.holder, token: record.token };
  }

  async #write(token: number, expectedVersion: number): Promise<LeaseStatus> {
    const { store, key, clock, durationMilliseconds } = this.#options;
    // Measured from before the write, because others may observe the new version that early.
    const startedAt = clock.now();
    const record = this.#makeRecord(token, durationMilliseconds);
    const outcome = await conditionalUpdate({
      store,
      key,
      value: JSON.stringify(record),
      expectedVersion,
      isOwn: (value) => parseLeaseRecord(value)?.writeId === record.writeId,
      clock,
    });
    if (outcome.type === 'done') {
      const validUntil = startedAt + durationMilliseconds * safeDurationRatio;
      this.#held = { token, version: outcome.version, validUntil };
      return { type: 'held', token };
    }
    if (outcome.type === 'unknown') {
      // The current version is unknown, so unless the lease is still valid the next attempt reads
      // first.
      if (this.token === undefined) this.#held = undefined;
      return { type: 'unavailable', detail: outcome.detail };
    }
    this.#held = undefined;
    if (outcome.current === undefined) {
      return { type: 'unavailable', detail: `lease record ${key} was deleted` };
    }
    const other = parseLeaseRecord(outcome.current.value);
    this.#lastObserved = { version: outcome.current.version, at: clock.now() };
    if (other?.holder === this.#options.holder) return this.#tryAcquire(outcome.current);
    return { type: 'held-by-other', holder: other?.holder ?? '', token: other?.token ?? 0 };
  }

  #makeRecord(token: number, durationMilliseconds: number): LeaseRecord {
    const { holder, createWriteId } = this.#options;
    return { holder, token, durationMilliseconds, writeId: createWriteId() };
  }
}

/** Parses a lease record; `undefined` if it is malformed. */
export function parseLeaseRecord(text: string): LeaseRecord | undefined {
  try {
    const record = JSON.parse(text) as Partial<LeaseRecord> | null;
    if (typeof record?.holder !== 'string' || typeof record.token !== 'number') return undefined;
    if (typeof record.durationMilliseconds !== 'number') return undefined;
    return record as LeaseRecord;
  } catch {
    return undefined;
  }
}
