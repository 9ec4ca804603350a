/* eslint-disable no-bitwise -- hashes are combined by XOR. */
import { hashString } from '@hickorybridge/utils';

/** Version of an entry, ordered by `major` and then by `minor`. */
export interface EntryVersion {
  readonly major: number;
  readonly minor: number;
}

/** Key and version of an entry, without its value. */
export interface EntryStamp {
  readonly key: string;
  readonly version: EntryVersion;
  /**
   * Marks a tombstone: removed entries are kept for a while, so that older copies do not restore
   * them.
   */
  readonly removed: boolean;
}

/** An entry with its value, as replicated among peers. */
export interface VersionedEntry<Value> extends EntryStamp {
  readonly value: Value;
}

/** Compares versions: negative if the first is older. */
export function compareVersions(first: EntryVersion, second: EntryVersion): number {
  return first.major - second.major || first.minor - second.minor;
}

const bucketCount = 64;

/**
 * The newest version of each entry by key, with a hash for comparing two tables: equal tables have
 * equal hashes, and different ones differ except for collisions. Removed entries are left out of
 * the hash, because peers forget them at different times. Keys are spread over 64 buckets, so that
 * differences are found in two steps.
 */
export class VersionedTable<Value> {
  readonly #entries = new Map<string, VersionedEntry<Value>>();

  readonly #buckets = Array.from({ length: bucketCount }, () => new Set<string>());

  readonly #hashes = new Array<number>(bucketCount).fill(0);

  #hash: number | undefined;

  /** Number of entries, including removed ones. */
  get size(): number {
    return this.#entries.size;
  }

  /** Returns the entry of a key, which may be a removed one. */
  get(key: string): VersionedEntry<Value> | undefined {
    return this.#entries.get(key);
  }

  /** Iterates over all entries, including removed ones. */
  values(): IterableIterator<VersionedEntry<Value>> {
    return this.#entries.values();
  }

  /** Stores an entry if it is newer than the existing one; returns whether it was stored. */
  apply(entry: VersionedEntry<Value>): boolean {
    const held = this.#entries.get(entry.key);
    if (held !== undefined && compareVersions(entry.version, held.version) <= 0) return false;
    const bucket = bucketOf(entry.key);
    this.#toggleInHash(bucket, held);
    this.#entries.set(entry.key, entry);
    this.#buckets[bucket]?.add(entry.key);
    this.#toggleInHash(bucket, entry);
    return true;
  }

  /** Deletes an entry without a tombstone; meant for entries that were removed long ago. */
  forget(key: string): void {
    const held = this.#entries.get(key);
    if (held === undefined) return;
    const bucket = bucketOf(key);
    this.#toggleInHash(bucket, held);
    this.#entries.delete(key);
    this.#buckets[bucket]?.delete(key);
  }

  /**
   * Whether the entry of a stamp should be fetched. A removed entry of an unknown key should not.
   */
  needs(stamp: EntryStamp): boolean {
    const held = this.#entries.get(stamp.key);
    if (held === undefined) return !stamp.removed;
    return compareVersions(stamp.version, held.version) > 0;
  }

  /** Returns the 32-bit hash of the whole table. */
  hash(): number {
    this.#hash ??= hashString(this.#hashes.join());
    return this.#hash;
  }

  /** Returns the 32-bit hash of each bucket. */
  bucketHashes(): readonly number[] {
    return [...this.#hashes];
  }

  /** Returns the buckets whose hashes differ from a peer's. */
  differingBuckets(peerHashes: readonly number[]): number[] {
    return this.#hashes.flatMap((hash, bucket) => (hash === peerHashes[bucket] ? [] : [bucket]));
  }

  /** Returns the entries of the given buckets. */
  entriesIn(buckets: readonly number[]): VersionedEntry<Value>[] {
    return buckets
      .flatMap((bucket) => [...(this.#buckets[bucket] ?? [])])
      .flatMap((key) => this.#entries.get(key) ?? []);
  }

  /** Adds an entry to the bucket's hash or removes it: XOR is its own inverse. */
  #toggleInHash(bucket: number, entry: EntryStamp | undefined): void {
    if (entry === undefined || entry.removed) return;
    const { key, version } = entry;
    const hash = hashString(`${key}\u0000${version.major}\u0000${version.minor}`);
    this.#hashes[bucket] = ((this.#hashes[bucket] ?? 0) ^ hash) >>> 0;
    this.#hash = undefined;
  }
}

/** Returns the key, version and removal mark of an entry. */
export function stampOf(entry: EntryStamp): EntryStamp {
  return { key: entry.key, version: entry.version, removed: entry.removed };
}

function bucketOf(key: string): number {
  return hashString(key) % bucketCount;
}
