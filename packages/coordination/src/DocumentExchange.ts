import type { ControlChannel } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import { deflateRawSync, inflateRawSync } from 'node:zlib';

import {
  encodeDocumentPart,
  parseDocumentPart,
  parseDocumentPartRequest,
  parseDocumentState,
  type DocumentPart,
  type DocumentState,
} from './documentMessages.js';

/** A document and its version; the text of a version never changes. */
export interface VersionedDocument {
  readonly version: number;
  readonly text: string;
}

/** Options of {@link DocumentExchange}. */
export interface DocumentExchangeOptions {
  /** Prefix of the control call names. */
  readonly name: string;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  /** Interval between polls, in milliseconds. */
  readonly pollIntervalMilliseconds: number;
  /** Chooses the peers to notify of a new version. */
  readonly chooseAnnouncementPeers: () => readonly string[];
  /** Chooses the peers for the next poll. */
  readonly choosePollPeers: () => readonly string[];
  /**
   * Whether a peer is in another region. Fetches from it are delayed, so that the low-bandwidth
   * link between regions is used only if no peer in the same region delivers first.
   */
  readonly isInOtherRegion: (peer: string) => boolean;
  /** Whether this node currently receives new versions directly from the source. */
  readonly isWatchingSource: () => boolean;
  /** Called with a newer document from a peer; returns false to reject it. */
  readonly onDocument: (document: VersionedDocument, from: string) => boolean;
  /** Called when data from a peer can't be decompressed. */
  readonly onInvalidData: (detail: string, from: string) => void;
}

const callTimeoutMilliseconds = 1000;
/**
 * Delay before a fetch from another region, and time after which a slow fetch no longer prevents a
 * fetch from another peer.
 */
const fetchStaggerMilliseconds = 250;
/** Compressed bytes per message; encoded as base64 they fit into a frame of 256 KB. */
const maxPartBytes = 96 * 1024;
/** The store limits objects to 1 MB, so a size above this limit comes from a faulty peer. */
const maxCompressedBytes = 4 * 1024 * 1024;
const maxTextBytes = 16 * 1024 * 1024;
/** Fastest level: configurations are repetitive and still compress to a third of their size. */
const compressionLevel = 1;

/**
 * Replicates the newest version of one document among peers and tracks how stale the local copy may
 * be. A new version is announced to a few peers, which fetch it and announce it in turn; periodic
 * polls find versions whose announcement was lost. Only some nodes need to watch the source: the
 * others learn from them that their copy is current.
 */
export class DocumentExchange {
  readonly #options: DocumentExchangeOptions;

  #document: VersionedDocument | undefined;

  #compressed: { readonly version: number; readonly data: Buffer } | undefined;

  /** Latest time at which a peer or the source confirmed that the local version is the newest. */
  #confirmedAt = -Infinity;

  /** Newest version that `onDocument` rejected; it is not fetched again. */
  #rejectedVersion = 0;

  #fetchStartedAt = -Infinity;

  constructor(options: DocumentExchangeOptions) {
    this.#options = options;
    const { channel, name } = options;
    channel.handle(`${name}/state`, (body, from) => this.#handleState(body, from.nodeId));
    channel.handle(`${name}/part`, (body) => this.#handlePart(body));
  }

  /** Version of the local document; 0 if there is none. */
  get version(): number {
    return this.#document?.version ?? 0;
  }

  /**
   * Time since a peer or the source last confirmed that the local version is the newest; infinite
   * before the first confirmation.
   */
  get ageMilliseconds(): number {
    return this.#options.clock.now() - this.#confirmedAt;
  }

  /** Stores a document from the source and announces it to peers if it is newer. */
  publish(document: VersionedDocument): void {
    if (document.version <= this.version) return;
    this.#document = document;
    this.#announce();
  }

  /** Records that the local version was the newest one in the source at the given time. */
  confirm(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  /** Polls peers until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { pollIntervalMilliseconds, choosePollPeers, clock } = this.#options;
    while (!signal.aborted) {
      for (const peer of choosePollPeers()) this.#poll(peer);
      await clock.sleep(pollIntervalMilliseconds, signal);
    }
  }

  #announce(): void {
    for (const peer of this.#options.chooseAnnouncementPeers()) this.#poll(peer);
  }

  async #poll(peer: string): Promise<void> {
    const { channel, clock, name } = this.#options;
    const polledAt = clock.now();
    const reply = await channel.call(
      peer,
      `${name}/state`,
      this.#localState(),
      callTimeoutMilliseconds,
    );
    // The connection reports an unreachable peer; the next poll chooses peers again.
    if (!reply.ok) return;
    const { ageMilliseconds, version } = parseDocumentState(reply.value);
    if (version === this.version && version > 0 && ageMilliseconds !== undefined) {
      this.confirm(polledAt - ageMilliseconds);
    }
    await this.#fetchIfNewer(peer, version);
  }

  #localState(): DocumentState {
    const age = this.#options.isWatchingSource() ? 0 : this.ageMilliseconds;
    return {
      version: this.version,
      ageMilliseconds: Number.isFinite(age) ? Math.round(age) : undefined,
    };
  }

  #handleState(body: unknown, from: string): DocumentState {
    this.#fetchIfNewer(from, parseDocumentState(body).version);
    return this.#localState();
  }

  #handlePart(body: unknown): unknown {
    const { offset } = parseDocumentPartRequest(body);
    const document = this.#document;
    if (document === undefined) return {};
    const { version } = document;
    if (this.#compressed?.version !== version) {
      const data = deflateRawSync(document.text, { level: compressionLevel });
      this.#compressed = { version, data };
    }
    const { data } = this.#compressed;
    const part = data.subarray(offset, offset + maxPartBytes);
    return encodeDocumentPart({ version, totalBytes: data.length, data: part });
  }

  /** Fetches a newer version from a peer unless another peer delivers it first. */
  async #fetchIfNewer(peer: string, version: number): Promise<void> {
    const { clock, isInOtherRegion } = this.#options;
    const isNewer = () => version > Math.max(this.version, this.#rejectedVersion);
    if (!isNewer()) return;
    if (isInOtherRegion(peer)) await clock.sleep(fetchStaggerMilliseconds);
    while (isNewer() && clock.now() - this.#fetchStartedAt < fetchStaggerMilliseconds) {
      await clock.sleep(this.#fetchStartedAt + fetchStaggerMilliseconds - clock.now());
    }
    if (!isNewer()) return;
    this.#fetchStartedAt = clock.now();
    const document = await this.#fetch(peer);
    if (document !== undefined) this.#accept(document, peer);
  }

  #accept(document: VersionedDocument, from: string): void {
    if (document.version <= Math.max(this.version, this.#rejectedVersion)) return;
    if (!this.#options.onDocument(document, from)) {
      this.#rejectedVersion = document.version;
      return;
    }
    this.#document = document;
    this.#announce();
  }

  /** Fetches the document from a peer; `undefined` if it could not be read completely. */
  async #fetch(peer: string): Promise<VersionedDocument | undefined> {
    const parts: Buffer[] = [];
    let first: DocumentPart | undefined;
    let offset = 0;
    for (;;) {
      const part = await this.#fetchPart(peer, offset);
      if (part === undefined || part.totalBytes > maxCompressedBytes) return undefined;
      first ??= part;
      // The peer received a newer version during the fetch; the next poll finds it.
      if (part.version !== first.version) return undefined;
      parts.push(part.data);
      offset += part.data.length;
      if (offset >= part.totalBytes) return this.#decompress(part.version, parts, peer);
      if (part.data.length === 0) return undefined;
    }
  }

  async #fetchPart(peer: string, offset: number): Promise<DocumentPart | undefined> {
    const { channel, name } = this.#options;
    const reply = await channel.call(peer, `${name}/part`, { offset }, callTimeoutMilliseconds);
    return reply.ok ? parseDocumentPart(reply.value) : undefined;
  }

  #decompress(
    version: number,
    parts: readonly Buffer[],
    from: string,
  ): VersionedDocument | undefined {
    try {
      const text = inflateRawSync(Buffer.concat(parts), { maxOutputLength: maxTextBytes });
      return { version, text: text.toString('utf8') };
    } catch (error) {
      this.#options.onInvalidData(error instanceof Error ? error.message : String(error), from);
      return undefined;
    }
  }
}
