import type { EntryStamp, EntryVersion, VersionedEntry } from './VersionedTable.js';

/** Full entries for a peer, and stamps of large entries that it may request. */
export interface PushMessage {
  readonly entries: readonly VersionedEntry<unknown>[];
  readonly offers: readonly EntryStamp[];
}

/** Keys of the offered entries that the peer requests in full. */
export interface PushReply {
  readonly wanted: readonly string[];
}

/** Hash of the sender's whole table. */
export interface DigestMessage {
  readonly hash: number;
}

/** Hashes of all buckets if the tables differ; no buckets if they are equal. */
export interface DigestReply {
  readonly buckets?: readonly number[];
}

/** Stamps of all entries that the sender has in the given buckets. */
export interface ReconcileMessage {
  readonly buckets: readonly number[];
  readonly stamps: readonly EntryStamp[];
}

/** Entries that the sender lacks, and keys that the peer requests from it. */
export interface ReconcileReply {
  readonly entries: readonly VersionedEntry<unknown>[];
  readonly wanted: readonly string[];
}

type Fields = Readonly<Record<string, unknown>>;

/** Parses a push; malformed entries and offers are skipped. */
export function parsePush(body: unknown): PushMessage {
  const fields = asFields(body);
  return { entries: parseEntries(fields.entries), offers: parseStamps(fields.offers) };
}

/** Parses the reply to a push; malformed keys are skipped. */
export function parsePushReply(body: unknown): PushReply {
  return { wanted: parseStrings(asFields(body).wanted) };
}

/** Parses a digest; a malformed hash becomes -1, which matches no table. */
export function parseDigest(body: unknown): DigestMessage {
  const { hash } = asFields(body);
  return { hash: typeof hash === 'number' ? hash : -1 };
}

/** Parses the reply to a digest. */
export function parseDigestReply(body: unknown): DigestReply {
  const { buckets } = asFields(body);
  return Array.isArray(buckets) ? { buckets: parseNumbers(buckets) } : {};
}

/** Parses a reconcile message. */
export function parseReconcile(body: unknown): ReconcileMessage {
  const fields = asFields(body);
  return { buckets: parseNumbers(fields.buckets), stamps: parseStamps(fields.stamps) };
}

/** Parses the reply to a reconcile message. */
export function parseReconcileReply(body: unknown): ReconcileReply {
  const fields = asFields(body);
  return { entries: parseEntries(fields.entries), wanted: parseStrings(fields.wanted) };
}

function asFields(body: unknown): Fields {
  return typeof body === 'object' && body !== null ? (body as Fields) : {};
}

function asArray(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function parseNumbers(value: unknown): number[] {
  return asArray(value).filter((item): item is number => typeof item === 'number');
}

function parseStrings(value: unknown): string[] {
  return asArray(value).filter((item): item is string => typeof item === 'string');
}

function parseStamps(value: unknown): EntryStamp[] {
  return asArray(value).flatMap((item) => parseStamp(item) ?? []);
}

function parseEntries(value: unknown): VersionedEntry<unknown>[] {
  return asArray(value).flatMap((item) => {
    const stamp = parseStamp(item);
    return stamp === undefined ? [] : { ...stamp, value: asFields(item).value };
  });
}

function parseStamp(item: unknown): EntryStamp | undefined {
  const { key, version, removed } = asFields(item);
  const parsed = parseVersion(version);
  if (typeof key !== 'string' || parsed === undefined) return undefined;
  return { key, version: parsed, removed: removed === true };
}

function parseVersion(value: unknown): EntryVersion | undefined {
  const { major, minor } = asFields(value);
  if (!Number.isSafeInteger(major) || !Number.isSafeInteger(minor)) return undefined;
  return { major: major as number, minor: minor as number };
}
