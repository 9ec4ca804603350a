import type { EntryStamp, EntryVersion, VersionedEntry } from './VersionedTable.js';

/** Entries for a peer, and stamps of large ones that it may ask for. */
export interface PushMessage {
  readonly entries: readonly VersionedEntry<unknown>[];
  readonly offers: readonly EntryStamp[];
}

/** Keys that the peer wants in full. */
export interface PushReply {
  readonly wanted: readonly string[];
}

/** Hash of the sender's table. */
export interface DigestMessage {
  readonly hash: number;
}

/** Hashes of all buckets when the tables differ; nothing when they are the same. */
export interface DigestReply {
  readonly buckets?: readonly number[];
}

/** All stamps that the sender has in some buckets. */
export interface ReconcileMessage {
  readonly buckets: readonly number[];
  readonly stamps: readonly EntryStamp[];
}

/** Entries that the sender lacks, and keys that the peer wants from it. */
export interface ReconcileReply {
  readonly entries: readonly VersionedEntry<unknown>[];
  readonly wanted: readonly string[];
}

type Fields = Readonly<Record<string, unknown>>;

/** Reads a push; malformed parts are left out. */
export function parsePush(body: unknown): PushMessage {
  const fields = fieldsOf(body);
  return { entries: parseEntries(fields.entries), offers: parseStamps(fields.offers) };
}

/** Reads the reply to a push. */
export function parsePushReply(body: unknown): PushReply {
  return { wanted: parseStrings(fieldsOf(body).wanted) };
}

/** Reads a digest; a malformed one never equals a hash. */
export function parseDigest(body: unknown): DigestMessage {
  const { hash } = fieldsOf(body);
  return { hash: typeof hash === 'number' ? hash : -1 };
}

/** Reads the reply to a digest. */
export function parseDigestReply(body: unknown): DigestReply {
  const { buckets } = fieldsOf(body);
  return Array.isArray(buckets) ? { buckets: parseNumbers(buckets) } : {};
}

/** Reads a reconciliation. */
export function parseReconcile(body: unknown): ReconcileMessage {
  const fields = fieldsOf(body);
  return { buckets: parseNumbers(fields.buckets), stamps: parseStamps(fields.stamps) };
}

/** Reads the reply to a reconciliation. */
export function parseReconcileReply(body: unknown): ReconcileReply {
  const fields = fieldsOf(body);
  return { entries: parseEntries(fields.entries), wanted: parseStrings(fields.wanted) };
}

function fieldsOf(body: unknown): Fields {
  return typeof body === 'object' && body !== null ? (body as Fields) : {};
}

function listOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function parseNumbers(value: unknown): number[] {
  return listOf(value).filter((item): item is number => typeof item === 'number');
}

function parseStrings(value: unknown): string[] {
  return listOf(value).filter((item): item is string => typeof item === 'string');
}

function parseStamps(value: unknown): EntryStamp[] {
  return listOf(value).flatMap((item) => parseStamp(item) ?? []);
}

function parseEntries(value: unknown): VersionedEntry<unknown>[] {
  return listOf(value).flatMap((item) => {
    const stamp = parseStamp(item);
    return stamp === undefined ? [] : { ...stamp, value: fieldsOf(item).value };
  });
}

function parseStamp(item: unknown): EntryStamp | undefined {
  const { key, version, removed } = fieldsOf(item);
  const parsed = parseVersion(version);
  if (typeof key !== 'string' || parsed === undefined) return undefined;
  return { key, version: parsed, removed: removed === true };
}

function parseVersion(value: unknown): EntryVersion | undefined {
  const { major, minor } = fieldsOf(value);
  if (!Number.isSafeInteger(major) || !Number.isSafeInteger(minor)) return undefined;
  return { major: major as number, minor: minor as number };
}
