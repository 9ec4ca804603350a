import type { Clock } from '@hickorybridge/utils';
import type { ConditionalStore, VersionedObject } from './conditionalStore.js';
import { conditionalUpdate } from './conditionalUpdate.js';

/** What the store holds for a lease. */
export interface LeaseRecord {
  readonly holder: string;
  /** Rises by one with each new holder. */
  readonly token: number;
  readonly durationMilliseconds: number;
  /** Unique for each write, so that a lost answer can be resolved. */
  readonly writeId: string;
}

/** Settings of one candidate for a lease. */
export interface FencedLeaseOptions {
  readonly store: ConditionalStore;
  /** Key of the lease in the store. */
  readonly key: string;
  /** Unique name of this candidate; two runs of one process need two names. */
  readonly holder: string;
  readonly durationMilliseconds: number;
  readonly clock: Clock;
  /** Gives a name that no other write uses. */
  readonly createWriteId: () => string;
}

/** What one try to take or keep the lease found. */
export type LeaseStatus =
  | { readonly type: 'held'; readonly token: number }
  | { readonly type: 'held-by-other'; readonly holder: string; readonly token: number }
  | { readonly type: 'unavailable'; readonly detail: string };

/** Part of the duration after which the holder itself stops, before another may take over. */
const safeShare = 0.8;

/**
 * A lease with a fencing token, kept in a store by conditional updates. A candidate takes the lease
 * when it has seen the same version for a whole duration by its own monotonic clock, so wall clocks
 * need not agree. `token` tells only that the lease was held a moment ago: a paused holder can
 * believe in it for too long, so whatever the lease protects must refuse older tokens.
 */
export class FencedLease {
  readonly #options: FencedLeaseOptions;

  #seen: { readonly version: number; readonly at: number } | undefined;

  #held: { readonly token: number; readonly version: number; readonly until: number } | undefined;

  constructor(options: FencedLeaseOptions) {
    this.#options = options;
  }

  /** Gives the fencing token while the lease is held by the local clock. */
  get token(): number | undefined {
    if (this.#held === undefined) return undefined;
    return this.#options.clock.now() < this.#held.until ? this.#held.token : undefined;
  }

  /** Takes the lease if it is free or lapsed, and renews it if it is held. Two calls at most. */
  async acquireOrRenew(): Promise<LeaseStatus> {
    if (this.#held !== undefined) {
      const { token, version } = this.#held;
      return this.#write(token, version);
    }
    const read = await this.#options.store.read(this.#options.key);
    if (!read.ok) return { type: 'unavailable', detail: read.error.detail };
    return this.#consider(read.value);
  }

  /** Gives the lease up, so that another candidate need not wait for its end. */
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

  async #consider(current: VersionedObject | undefined): Promise<LeaseStatus> {
    if (current === undefined) return this.#write(1, 0);
    const record = parseLeaseRecord(current.value);
    if (record === undefined) {
      return { type: 'unavailable', detail: `the lease ${this.#options.key} is malformed` };
    }
    if (record.holder === this.#options.holder) return this.#write(record.token, current.version);
    const now = this.#options.clock.now();
    if (this.#seen?.version !== current.version) this.#seen = { version: current.version, at: now };
    const free = now - this.#seen.at >= record.durationMilliseconds;
    if (free) return this.#write(record.token + 1, current.version);
    return { type: 'held-by-other', holder: record.holder, token: record.token };
  }

  async #write(token: number, expectedVersion: number): Promise<LeaseStatus> {
    const { store, key, clock, durationMilliseconds } = this.#options;
    // The time counts from before the write, since others may see it as early as that.
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
      const until = startedAt + durationMilliseconds * safeShare;
      this.#held = { token, version: outcome.version, until };
      return { type: 'held', token };
    }
    if (outcome.type === 'unknown') {
      // The version to expect is unknown now, so the next try reads first.
      if (this.token === undefined) this.#held = undefined;
      return { type: 'unavailable', detail: outcome.detail };
    }
    this.#held = undefined;
    if (outcome.current === undefined) {
      return { type: 'unavailable', detail: `the lease ${key} was removed` };
    }
    const other = parseLeaseRecord(outcome.current.value);
    this.#seen = { version: outcome.current.version, at: clock.now() };
    if (other?.holder === this.#options.holder) return this.#consider(outcome.current);
    return { type: 'held-by-other', holder: other?.holder ?? '', token: other?.token ?? 0 };
  }

  #makeRecord(token: number, durationMilliseconds: number): LeaseRecord {
    const { holder, createWriteId } = this.#options;
    return { holder, token, durationMilliseconds, writeId: createWriteId() };
  }
}

/** Reads a lease from the store's text; `undefined` when it is malformed. */
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
