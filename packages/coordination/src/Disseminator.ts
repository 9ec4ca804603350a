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

/** Options of {@link Disseminator}. */
export interface DisseminatorOptions<Value> {
  /** Prefix of the control call names. */
  readonly name: string;
  readonly table: VersionedTable<Value>;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  /** Validates a value received from a peer; `undefined` drops the entry. */
  readonly parseValue: (key: string, value: unknown) => Value | undefined;
  /** Chooses the peers for a push; `isLocal` is true when the change was published on this node. */
  readonly choosePushTargets: (isLocal: boolean) => readonly string[];
  /** Chooses the peer for the next reconciliation. */
  readonly chooseReconciliationPeer: () => string | undefined;
  /** Interval between reconciliations, in milliseconds; default 1000. */
  readonly reconciliationIntervalMilliseconds?: number;
  /** Called for each entry applied to the table, whether published locally or received. */
  readonly onApplied: (entry: VersionedEntry<Value>) => void;
}

const callTimeoutMilliseconds = 1000;
const defaultReconciliationIntervalMilliseconds = 1000;

/** Changes made within this time are batched into one message. */
const pushDelayMilliseconds = 20;

/**
 * For larger values only the version is offered, because most peers receive it from several peers.
 */
const maxInlineValueBytes = 1024;

/** Limit for the entries of one message; a frame of the peer protocol holds at most 256 KB. */
const maxMessageBytes = 128 * 1024;

/** A message that applies more entries comes from a join; forwarding them is unnecessary. */
const maxForwardedEntries = 8;

/** Time for which a key requested from one peer is not requested from another. */
const requestRepeatMilliseconds = 1000;

/**
 * Replicates the entries of a table among peers by gossip and anti-entropy. Each change is pushed
 * to a few peers, which forward it once; periodic reconciliation finds changes that a push missed.
 * An idle node sends one hash per second, regardless of the number of entries. Lost, duplicated and
 * reordered messages are tolerated.
 */
export class Disseminator<Value> implements AsyncDisposable {
  readonly #options: DisseminatorOptions<Value>;

  readonly #stop = new AbortController();

  readonly #localKeys = new Set<string>();

  /** Keys to forward, each with the peer that sent its entry. */
  readonly #keysToForward = new Map<string, string>();

  readonly #requestedAt = new Map<string, number>();

  #pushScheduled = false;

  constructor(options: DisseminatorOptions<Value>) {
    this.#options = options;
    const { channel, name } = options;
    channel.handle(`${name}/push`, (body, from) => this.#handlePush(body, from.nodeId));
    channel.handle(`${name}/digest`, (body) => this.#handleDigest(body));
    channel.handle(`${name}/reconcile`, (body) => this.#handleReconcile(body));
  }

  /** Reconciles with a peer at each interval until disposal. */
  async run(): Promise<void> {
    const { clock, chooseReconciliationPeer } = this.#options;
    const interval =
      this.#options.reconciliationIntervalMilliseconds ?? defaultReconciliationIntervalMilliseconds;
    while (!this.#stop.signal.aborted) {
      await clock.sleep(interval, this.#stop.signal);
      if (this.#stop.signal.aborted) return;
      const peer = chooseReconciliationPeer();
      if (peer !== undefined) await this.reconcileWith(peer);
    }
  }

  /**
   * Applies a local entry and schedules its push. Returns false if the table has the same or a
   * newer version.
   */
  publish(entry: VersionedEntry<Value>): boolean {
    if (!this.#apply(entry)) return false;
    this.#localKeys.add(entry.key);
    this.#schedulePush();
    return true;
  }

  /** Pushes an entry again, for peers that joined after it was published. */
  republish(key: string): void {
    this.#localKeys.add(key);
    this.#schedulePush();
  }

  /**
   * Reconciles this table and a peer's in both directions. Returns false if the peer did not
   * answer.
   */
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
    this.#applyFromPeer(entries, peer);
    await this.#sendEntries(peer, wanted);
    return true;
  }

  /** Pushes pending entries without delay, before the process exits. */
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
    const localKeys = [...this.#localKeys];
    const keysToForward = new Map(this.#keysToForward);
    this.#localKeys.clear();
    this.#keysToForward.clear();
    const sends: Promise<void>[] = [];
    if (localKeys.length > 0) {
      for (const peer of this.#options.choosePushTargets(true)) {
        sends.push(this.#pushTo(peer, localKeys));
      }
    }
    if (keysToForward.size > 0) {
      for (const peer of this.#options.choosePushTargets(false)) {
        const keys = [...keysToForward].flatMap(([key, from]) => (from === peer ? [] : [key]));
        if (keys.length > 0) sends.push(this.#pushTo(peer, keys));
      }
    }
    await Promise.all(sends);
  }

  async #pushTo(peer: string, keys: readonly string[]): Promise<void> {
    const inlineEntries: VersionedEntry<Value>[] = [];
    const offers: EntryStamp[] = [];
    for (const entry of this.#entriesOf(keys)) {
      if (serializedLength(entry.value) <= maxInlineValueBytes) inlineEntries.push(entry);
      else offers.push(stampOf(entry));
    }
    const message: PushMessage = { entries: takeEntriesForMessage(inlineEntries), offers };
    const reply = await this.#call(peer, 'push', message);
    if (reply !== undefined) await this.#sendEntries(peer, parsePushReply(reply.value).wanted);
  }

  /** Sends full entries, split into messages of limited size. */
  async #sendEntries(peer: string, keys: readonly string[]): Promise<void> {
    let rest = this.#entriesOf(keys);
    while (rest.length > 0 && !this.#stop.signal.aborted) {
      const entries = takeEntriesForMessage(rest);
      rest = rest.slice(entries.length);
      const message: PushMessage = { entries, offers: [] };
      const reply = await this.#call(peer, 'push', message);
      if (reply === undefined) return;
    }
  }

  #handlePush(body: unknown, from: string): PushReply {
    const { entries, offers } = parsePush(body);
    this.#applyFromPeer(entries, from);
    const now = this.#options.clock.now();
    const wanted = offers.filter(
      (offer) => this.#options.table.needs(offer) && !this.#wasRecentlyRequested(offer.key, now),
    );
    for (const offer of wanted) this.#requestedAt.set(offer.key, now);
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
    return { entries: takeEntriesForMessage(entries), wanted };
  }

  #applyFromPeer(entries: readonly VersionedEntry<unknown>[], from: string): void {
    const appliedKeys = entries.flatMap((entry) => {
      const value = this.#options.parseValue(entry.key, entry.value);
      return value !== undefined && this.#apply({ ...entry, value }) ? [entry.key] : [];
    });
    for (const key of appliedKeys) this.#requestedAt.delete(key);
    if (appliedKeys.length === 0 || appliedKeys.length > maxForwardedEntries) return;
    for (const key of appliedKeys) this.#keysToForward.set(key, from);
    this.#schedulePush();
  }

  #entriesOf(keys: readonly string[]): VersionedEntry<Value>[] {
    return keys.flatMap((key) => this.#options.table.get(key) ?? []);
  }

  #wasRecentlyRequested(key: string, now: number): boolean {
    const requestedAt = this.#requestedAt.get(key);
    return requestedAt !== undefined && now - requestedAt < requestRepeatMilliseconds;
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

function serializedLength(value: unknown): number {
  return JSON.stringify(value)?.length ?? 0;
}

/** Returns the first entries that fit into one message, and at least one. */
function takeEntriesForMessage<Value>(
  entries: readonly VersionedEntry<Value>[],
): readonly VersionedEntry<Value>[] {
  let bytes = 0;
  const end = entries.findIndex((entry, index) => {
    bytes += serializedLength(entry.value) + entry.key.length;
    return index > 0 && bytes > maxMessageBytes;
  });
  return end < 0 ? entries : entries.slice(0, end);
}
