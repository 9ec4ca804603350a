/* eslint-disable no-bitwise -- hashes are combined by exclusive or. */
import { hashString } from '@hickorybridge/utils';

/** Version of an entry: the greater `major` wins, then the greater `minor`. */
export interface EntryVersion {
  readonly major: number;
  readonly minor: number;
}

/** Key and version of an entry, without its value. */
export interface EntryStamp {
  readonly key: string;
  readonly version: EntryVersion;
  /** A removed entry is kept for a while, so that older copies do not bring it back. */
  readonly removed: boolean;
}

/** A value that is spread among peers. */
export interface VersionedEntry<Value> extends EntryStamp {
  readonly value: Value;
}

/** Compares versions: negative when the first is older. */
export function compareVersions(first: EntryVersion, second: EntryVersion): number {
  return first.major - second.major || first.minor - second.minor;
}

const bucketCount = 64;

/**
 * Entries by key, the newest version of each, with a hash that two tables share exactly when they
 * hold the same entries. Removed entries do not count in the hash, because peers forget them at
 * different times. Keys are spread over 64 buckets, so that a difference is found in two steps.
 */
export class VersionedTable<Value> {
  readonly #entries = new Map<string, VersionedEntry<Value>>();

  readonly #buckets = Array.from({ length: bucketCount }, () => new Set<string>());

  readonly #hashes = new Array<number>(bucketCount).fill(0);

  #hash: number | undefined;

  /** Gives the number of entries, removed ones included. */
  get size(): number {
    return this.#entries.size;
  }

  /** Gives the entry of a key, which may be a removed one. */
  get(key: string): VersionedEntry<Value> | undefined {
    return this.#entries.get(key);
  }

  /** Lists all entries. */
  values(): IterableIterator<VersionedEntry<Value>> {
    return this.#entries.values();
  }

  /** Takes an entry if it is newer than the one held. */
  apply(entry: VersionedEntry<Value>): boolean {
    const held = this.#entries.get(entry.key);
    if (held !== undefined && compareVersions(entry.version, held.version) <= 0) return false;
    const bucket = bucketOf(entry.key);
    this.#mix(bucket, held);
    this.#entries.set(entry.key, entry);
    this.#buckets[bucket]?.add(entry.key);
    this.#mix(bucket, entry);
    return true;
  }

  /** Drops an entry without a trace; meant for entries removed long ago. */
  forget(key: string): void {
    const held = this.#entries.get(key);
    if (held === undefined) return;
    const bucket = bucketOf(key);
    this.#mix(bucket, held);
    this.#entries.delete(key);
    this.#buckets[bucket]?.delete(key);
  }

  /** Tells whether a stamp is worth fetching. A removed entry of an unknown key is not. */
  needs(stamp: EntryStamp): boolean {
    const held = this.#entries.get(stamp.key);
    if (held === undefined) return !stamp.removed;
    return compareVersions(stamp.version, held.version) > 0;
  }

  /** Gives the hash of the whole table, 32 bits. */
  hash(): number {
    this.#hash ??= hashString(this.#hashes.join());
    return this.#hash;
  }

  /** Gives the hash of each bucket, 32 bits each. */
  bucketHashes(): readonly number[] {
    return [...this.#hashes];
  }

  /** Lists the buckets whose hashes differ from a peer's. */
  differingBuckets(peerHashes: readonly number[]): number[] {
    return this.#hashes.flatMap((hash, bucket) => (hash === peerHashes[bucket] ? [] : [bucket]));
  }

  /** Lists the entries of some buckets. */
  entriesIn(buckets: readonly number[]): VersionedEntry<Value>[] {
    return buckets
      .flatMap((bucket) => [...(this.#buckets[bucket] ?? [])])
      .flatMap((key) => this.#entries.get(key) ?? []);
  }

  #mix(bucket: number, entry: EntryStamp | undefined): void {
    if (entry === undefined || entry.removed) return;
    const { key, version } = entry;
    const hash = hashString(`${key}\u0000${version.major}\u0000${version.minor}`);
    this.#hashes[bucket] = ((this.#hashes[bucket] ?? 0) ^ hash) >>> 0;
    this.#hash = undefined;
  }
}

/** Gives the key, version and removal mark of an entry. */
export function stampOf(entry: EntryStamp): EntryStamp {
  return { key: entry.key, version: entry.version, removed: entry.removed };
}

function bucketOf(key: string): number {
  return hashString(key) % bucketCount;
}
