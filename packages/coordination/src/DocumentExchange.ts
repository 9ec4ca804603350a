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

/** A document and its version. All copies of a version have the same text. */
export interface VersionedDocument {
  readonly version: number;
  readonly text: string;
}

/** Settings of an exchange. */
export interface DocumentExchangeOptions {
  /** Prefix of the names of its control calls. */
  readonly name: string;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  /** Time between two questions to peers, in milliseconds. */
  readonly pollIntervalMilliseconds: number;
  /** Chooses the peers that are told of a new version. */
  readonly chooseAnnouncementPeers: () => readonly string[];
  /** Chooses the peers that are asked next. */
  readonly choosePollPeers: () => readonly string[];
  /** Whether the way to a peer is narrow: it is only used when no near one has the document. */
  readonly isInOtherRegion: (peer: string) => boolean;
  /** Whether this node itself hears of each new version from the source at this moment. */
  readonly isWatchingSource: () => boolean;
  /** Takes a newer document from a peer; false when it is not usable. */
  readonly onDocument: (document: VersionedDocument, from: string) => boolean;
  /** Is told of bytes from a peer that are no document. */
  readonly onInvalidData: (detail: string, from: string) => void;
}

const callTimeoutMilliseconds = 1000;
/** A peer that has not delivered within this time is not the only one that is asked. */
const fetchPatienceMilliseconds = 250;
/** Compressed bytes in one message; as base64 they fit into a frame of 256 KB. */
const partBytes = 96 * 1024;
/** The store keeps objects of at most 1 MB; larger ones come from a broken peer. */
const maxCompressedBytes = 4 * 1024 * 1024;
const maxTextBytes = 16 * 1024 * 1024;
/** Fastest level: configurations repeat their words, and shrink to a third all the same. */
const compressionLevel = 1;

/**
 * Spreads the newest version of one document among peers, and tells how long a copy may have been
 * outdated. A new version is announced at once to a few peers, who fetch it and announce it in
 * turn; periodic questions find what an announcement has missed. Only some nodes need to follow the
 * source: the others hear from them that their copy is the newest.
 */
export class DocumentExchange {
  readonly #options: DocumentExchangeOptions;

  #document: VersionedDocument | undefined;

  #compressed: { readonly version: number; readonly data: Buffer } | undefined;

  /** When peers last confirmed that the held version is the newest. */
  #confirmedAt = -Infinity;

  /** A version that could not be used is not fetched again. */
  #rejectedVersion = 0;

  #fetchStartedAt = -Infinity;

  constructor(options: DocumentExchangeOptions) {
    this.#options = options;
    const { channel, name } = options;
    channel.handle(`${name}/state`, (body, from) => this.#answerState(body, from.nodeId));
    channel.handle(`${name}/part`, (body) => this.#answerPart(body));
  }

  /** Version of the held document; 0 for none. */
  get version(): number {
    return this.#document?.version ?? 0;
  }

  /**
   * Time since peers last confirmed that the held version is the newest; infinite before the first
   * time. What this node hears from the source itself does not count.
   */
  get ageMilliseconds(): number {
    return this.#options.clock.now() - this.#confirmedAt;
  }

  /** Takes a document from the source, and announces it to peers if it is newer. */
  publish(document: VersionedDocument): void {
    if (document.version <= this.version) return;
    this.#document = document;
    this.#announce();
  }

  /** Asks peers until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { pollIntervalMilliseconds: askIntervalMilliseconds, choosePollPeers: chooseAskedPeers, clock } = this.#options;
    while (!signal.aborted) {
      for (const peer of chooseAskedPeers()) this.#ask(peer);
      await clock.sleep(askIntervalMilliseconds, signal);
    }
  }

  #announce(): void {
    for (const peer of this.#options.chooseAnnouncementPeers()) this.#ask(peer);
  }

  async #ask(peer: string): Promise<void> {
    const { channel, clock, name } = this.#options;
    const askedAt = clock.now();
    const reply = await channel.call(peer, `${name}/state`, this.#state(), callTimeoutMilliseconds);
    // A peer that is lost is reported by its connection; the next question goes to another.
    if (!reply.ok) return;
    const { ageMilliseconds, version } = parseDocumentState(reply.value);
    if (version === this.version && version > 0 && ageMilliseconds !== undefined) {
      this.#confirmedAt = Math.max(this.#confirmedAt, askedAt - ageMilliseconds);
    }
    await this.#learn(peer, version);
  }

  #state(): DocumentState {
    const age = this.#options.isWatchingSource() ? 0 : this.ageMilliseconds;
    return {
      version: this.version,
      ageMilliseconds: Number.isFinite(age) ? Math.round(age) : undefined,
    };
  }

  #answerState(body: unknown, from: string): DocumentState {
    this.#learn(from, parseDocumentState(body).version);
    return this.#state();
  }

  #answerPart(body: unknown): unknown {
    const { offset } = parseDocumentPartRequest(body);
    const document = this.#document;
    if (document === undefined) return {};
    const { version } = document;
    if (this.#compressed?.version !== version) {
      const data = deflateRawSync(document.text, { level: compressionLevel });
      this.#compressed = { version, data };
    }
    const { data } = this.#compressed;
    const part = data.subarray(offset, offset + partBytes);
    return encodeDocumentPart({ version, totalBytes: data.length, data: part });
  }

  /** Fetches a version that a peer has, unless it comes from a nearer or quicker one meanwhile. */
  async #learn(peer: string, version: number): Promise<void> {
    const { clock, isInOtherRegion: isFar } = this.#options;
    const isNews = () => version > Math.max(this.version, this.#rejectedVersion);
    if (!isNews()) return;
    if (isFar(peer)) await clock.sleep(fetchPatienceMilliseconds);
    while (isNews() && clock.now() - this.#fetchStartedAt < fetchPatienceMilliseconds) {
      await clock.sleep(this.#fetchStartedAt + fetchPatienceMilliseconds - clock.now());
    }
    if (!isNews()) return;
    this.#fetchStartedAt = clock.now();
    const document = await this.#fetch(peer);
    if (document !== undefined) this.#take(document, peer);
  }

  #take(document: VersionedDocument, from: string): void {
    if (document.version <= Math.max(this.version, this.#rejectedVersion)) return;
    if (!this.#options.onDocument(document, from)) {
      this.#rejectedVersion = document.version;
      return;
    }
    this.#document = document;
    this.#announce();
  }

  /** Reads the document of a peer; `undefined` when it was not to be had whole. */
  async #fetch(peer: string): Promise<VersionedDocument | undefined> {
    const parts: Buffer[] = [];
    let first: DocumentPart | undefined;
    let offset = 0;
    for (;;) {
      const part = await this.#readPart(peer, offset);
      if (part === undefined || part.totalBytes > maxCompressedBytes) return undefined;
      first ??= part;
      // The peer has taken a newer version meanwhile, and the next question finds it.
      if (part.version !== first.version) return undefined;
      parts.push(part.data);
      offset += part.data.length;
      if (offset >= part.totalBytes) return this.#decompress(part.version, parts, peer);
      if (part.data.length === 0) return undefined;
    }
  }

  async #readPart(peer: string, offset: number): Promise<DocumentPart | undefined> {
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
