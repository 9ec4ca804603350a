import type { ControlChannel } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import {
  type DigestReply,
  type PushMessage,
  type PushReply,
  type ReconcileMessage,
  type ReconcileReply,
  parseDigest,
  parseDigestReply,
  parsePush,
  parsePushReply,
  parseReconcile,
  parseReconcileReply,
} from './disseminationMessages.js';
import {
  compareVersions,
  type EntryStamp,
  type EntryVersion,
  stampOf,
  type VersionedEntry,
  type VersionedTable,
} from './VersionedTable.js';

/** Settings of a disseminator. */
export interface DisseminatorOptions<Value> {
  /** Prefix of the names of its control calls. */
  readonly name: string;
  readonly table: VersionedTable<Value>;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  /** Checks a value from a peer; `undefined` drops the entry. */
  readonly parseValue: (key: string, value: unknown) => Value | undefined;
  /** Chooses the peers for a push; `own` is true when this node made the change. */
  readonly choosePushTargets: (own: boolean) => readonly string[];
  /** Chooses the peer of the next digest exchange. */
  readonly chooseReconciliationPeer: () => string | undefined;
  /** Time between two digest exchanges, in milliseconds; default 1000. */
  readonly reconciliationIntervalMilliseconds?: number;
  /** Hears of each entry that the table takes, from here or from a peer. */
  readonly onApplied: (entry: VersionedEntry<Value>) => void;
}

const callTimeoutMilliseconds = 1000;
const defaultExchangeIntervalMilliseconds = 1000;

/** Changes within this time travel in one message. */
const pushDelayMilliseconds = 20;

/** Larger values are offered first, because most peers get them from several sides. */
const offerThresholdBytes = 1024;

/** A frame of the peer protocol holds at most 256 KB. */
const messageBytes = 128 * 1024;

/** A difference with more entries is a join, which the rest of the peers need not hear about. */
const forwardedDifferenceEntries = 8;

/** Time for which a key that one peer is sending is not asked of another. */
const requestedMilliseconds = 1000;

/**
 * Spreads the entries of a table among peers: each change is pushed at once to a few, who pass it
 * on once, and a digest exchange finds what a push has missed. The idle cost is one hash a second,
 * whatever the number of entries. A lost, repeated or reordered message does no harm.
 */
export class Disseminator<Value> implements AsyncDisposable {
  readonly #options: DisseminatorOptions<Value>;

  readonly #stop = new AbortController();

  readonly #own = new Set<string>();

  readonly #forwarded = new Map<string, string>();

  readonly #requested = new Map<string, number>();

  #pushScheduled = false;

  constructor(options: DisseminatorOptions<Value>) {
    this.#options = options;
    const { channel, name } = options;
    channel.handle(`${name}/push`, (body, from) => this.#handlePush(body, from.nodeId));
    channel.handle(`${name}/digest`, (body) => this.#handleDigest(body));
    channel.handle(`${name}/reconcile`, (body) => this.#handleReconcile(body));
  }

  /** Exchanges a digest with a peer each second, until disposal. */
  async run(): Promise<void> {
    const { clock, chooseReconciliationPeer: chooseExchangePeer } = this.#options;
    const interval =
      this.#options.reconciliationIntervalMilliseconds ?? defaultExchangeIntervalMilliseconds;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(interval, this.#stop.signal);
      if (this.#stop.signal.aborted) return;
      const peer = chooseExchangePeer();
      if (peer !== undefined) await this.reconcileWith(peer);
    }
  }

  /** Takes an entry made here and pushes it. Gives false when a newer one is held. */
  publish(entry: VersionedEntry<Value>): boolean {
    if (!this.#apply(entry)) return false;
    this.#own.add(entry.key);
    this.#schedulePush();
    return true;
  }

  /** Pushes an entry again, for peers that came after its publication. */
  republish(key: string): void {
    this.#own.add(key);
    this.#schedulePush();
  }

  /** Makes both tables equal. Gives false when the peer did not answer. */
  async reconcileWith(peer: string): Promise<boolean> {
    const { table } = this.#options;
    const digest = await this.#call(peer, 'digest', { hash: table.hash() });
    if (digest === undefined) return false;
    const { buckets: peerBuckets } = parseDigestReply(digest.value);
    if (peerBuckets === undefined) return true;
    const buckets = table.differingBuckets(peerBuckets);
    const message: ReconcileMessage = {
      buckets,
      stamps: table.entriesIn(buckets).map((entry) => stampOf(entry)),
    };
    const reply = await this.#call(peer, 'reconcile', message);
    if (reply === undefined) return false;
    const { entries, wanted } = parseReconcileReply(reply.value);
    this.#applyDifference(entries, peer);
    await this.#send(peer, wanted);
    return true;
  }

  /** Pushes what is waiting now, for a process that is about to end. */
  async flush(): Promise<void> {
    await this.#push();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
  }

  #apply(entry: VersionedEntry<Value>): boolean {
    if (!this.#options.table.apply(entry)) return false;
    this.#options.onApplied(entry);
    return true;
  }

  #schedulePush(): void {
    if (this.#pushScheduled || this.#stop.signal.aborted) return;
    this.#pushScheduled = true;
    this.#pushLater();
  }

  async #pushLater(): Promise<void> {
    await this.#options.clock.sleep(pushDelayMilliseconds, this.#stop.signal);
    this.#pushScheduled = false;
    if (!this.#stop.signal.aborted) await this.#push();
  }

  async #push(): Promise<void> {
    const own = [...this.#own];
    const forwarded = new Map(this.#forwarded);
    this.#own.clear();
    this.#forwarded.clear();
    const sends: Promise<void>[] = [];
    if (own.length > 0) {
      for (const peer of this.#options.choosePushTargets(true)) {
        sends.push(this.#pushTo(peer, own));
      }
    }
    if (forwarded.size > 0) {
      for (const peer of this.#options.choosePushTargets(false)) {
        const keys = [...forwarded].flatMap(([key, from]) => (from === peer ? [] : [key]));
        if (keys.length > 0) sends.push(this.#pushTo(peer, keys));
      }
    }
    await Promise.all(sends);
  }

  async #pushTo(peer: string, keys: readonly string[]): Promise<void> {
    const small: VersionedEntry<Value>[] = [];
    const offers: EntryStamp[] = [];
    for (const entry of this.#entriesOf(keys)) {
      if (sizeOf(entry.value) <= offerThresholdBytes) small.push(entry);
      else offers.push(stampOf(entry));
    }
    const message: PushMessage = { entries: limitEntries(small), offers };
    const reply = await this.#call(peer, 'push', message);
    if (reply !== undefined) await this.#send(peer, parsePushReply(reply.value).wanted);
  }

  /** Sends entries in full, in messages of limited size. */
  async #send(peer: string, keys: readonly string[]): Promise<void> {
    let rest = this.#entriesOf(keys);
    while (rest.length > 0 && !this.#stop.signal.aborted) {
      const entries = limitEntries(rest);
      rest = rest.slice(entries.length);
      const message: PushMessage = { entries, offers: [] };
      const reply = await this.#call(peer, 'push', message);
      if (reply === undefined) return;
    }
  }

  #handlePush(body: unknown, from: string): PushReply {
    const { entries, offers } = parsePush(body);
    this.#applyDifference(entries, from);
    const now = this.#options.clock.now();
    const wanted = offers.filter(
      (offer) => this.#options.table.needs(offer) && !this.#isRequested(offer.key, now),
    );
    for (const offer of wanted) this.#requested.set(offer.key, now);
    return { wanted: wanted.map((offer) => offer.key) };
  }

  #handleDigest(body: unknown): DigestReply {
    const { table } = this.#options;
    if (parseDigest(body).hash === table.hash()) return {};
    return { buckets: table.bucketHashes() };
  }

  #handleReconcile(body: unknown): ReconcileReply {
    const { table } = this.#options;
    const { buckets, stamps } = parseReconcile(body);
    const peerStamps = new Map(stamps.map((stamp) => [stamp.key, stamp]));
    const entries = table.entriesIn(buckets).filter((entry) => {
      const held = peerStamps.get(entry.key);
      return held === undefined ? !entry.removed : isNewer(entry, held);
    });
    const wanted = stamps.filter((stamp) => table.needs(stamp)).map((stamp) => stamp.key);
    return { entries: limitEntries(entries), wanted };
  }

  #applyDifference(entries: readonly VersionedEntry<unknown>[], from: string): void {
    const taken = entries.flatMap((entry) => {
      const value = this.#options.parseValue(entry.key, entry.value);
      return value !== undefined && this.#apply({ ...entry, value }) ? [entry.key] : [];
    });
    for (const key of taken) this.#requested.delete(key);
    if (taken.length === 0 || taken.length > forwardedDifferenceEntries) return;
    for (const key of taken) this.#forwarded.set(key, from);
    this.#schedulePush();
  }

  #entriesOf(keys: readonly string[]): VersionedEntry<Value>[] {
    return keys.flatMap((key) => this.#options.table.get(key) ?? []);
  }

  #isRequested(key: string, now: number): boolean {
    const requestedAt = this.#requested.get(key);
    return requestedAt !== undefined && now - requestedAt < requestedMilliseconds;
  }

  async #call(peer: string, name: string, body: unknown): Promise<{ value: unknown } | undefined> {
    const callName = `${this.#options.name}/${name}`;
    const result = await this.#options.channel.call(peer, callName, body, callTimeoutMilliseconds);
    return result.ok ? { value: result.value } : undefined;
  }
}

function isNewer(entry: VersionedEntry<unknown>, held: { version: EntryVersion }): boolean {
  return compareVersions(entry.version, held.version) > 0;
}

function sizeOf(value: unknown): number {
  return JSON.stringify(value)?.length ?? 0;
}

/** Takes entries from the front until the message is full; at least one. */
function limitEntries<Value>(
  entries: readonly VersionedEntry<Value>[],
): readonly VersionedEntry<Value>[] {
  let bytes = 0;
  const end = entries.findIndex((entry, index) => {
    bytes += sizeOf(entry.value) + entry.key.length;
    return index > 0 && bytes > messageBytes;
  });
  return end < 0 ? entries : entries.slice(0, end);
}
