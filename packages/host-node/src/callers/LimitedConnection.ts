import type { ConnectionShare } from '@hickorybridge/utils';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';

import { resetConnection } from './resetConnection.js';

export interface LimitedConnectionOptions {
  readonly socket: Socket;
  /** Bytes that may come without beginning a request. */
  readonly maxHeadBytes: () => number;
  /** Told once when a head, or what precedes it, exceeds the limit. */
  readonly onHeadTooLarge: (connection: LimitedConnection) => void;
}

type WriteCallback = (error?: Error | null) => void;

interface PendingWrite {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

/** The parser creates an object for each chunk of a piece before any can be held back. */
const pieceBytes = 4 * 1024;
/** Bodies with a length have no chunks, so that larger pieces save time. */
const bodyPieceBytes = 16 * 1024;
/** Ends each head and each body in chunks. */
const endOfHead = '\r\n\r\n';
const carriageReturn = 0x0d;
const lineFeed = 0x0a;
/** Callers send a few requests ahead; more than these are left unread until others are answered. */
const maxOpenRequests = 32;
/** Objects of a request from its head to its answer. */
const requestBytes = 8 * 1024;
/** What is held of a body at most: it is passed on beyond that. */
const maxHeldBodyBytes = 128 * 1024;
/** A connection that holds more, such as answers that nobody reads, is not read from. */
const maxHeldBytes = 1024 * 1024;
/** Bodies above this are sent to a backend server while they arrive. */
const streamedBodyBytes = 32 * 1024;

const noData = Buffer.alloc(0);

/**
 * Stands between a socket and the HTTP server. Passes on what arrives in small pieces, only while
 * the connection is within its limits, and accounts for what the connection holds.
 */
export class LimitedConnection extends Duplex {
  readonly #options: LimitedConnectionOptions;

  readonly #socket: Socket;

  readonly #openResponses = new Set<ServerResponse>();

  #share: ConnectionShare | undefined;

  /** What was read from the socket and is not passed on yet. */
  #pending: Buffer = noData;

  #isWanted = false;

  #hasEnded = false;

  /** Whether the next request waits for the next turn of the event loop. */
  #isYielding = false;

  /** Bytes passed on since the last request began. */
  #headBytes = 0;

  /** Whether nothing more is passed on. */
  #isDiscarding = false;

  /** Bytes read from the socket. */
  #receivedBytes = 0;

  /** Bytes passed on since no request was open. */
  #passedBytes = 0;

  /** Bytes passed on since the last request began, its head not counted. */
  #bodyBytes = 0;

  /** The last request that began. */
  #request: IncomingMessage | undefined;

  /** Bytes of answers that wait for earlier answers, as of the last sample. */
  #waitingAnswerBytes = 0;

  constructor(options: LimitedConnectionOptions) {
    super({ allowHalfOpen: true, decodeStrings: false, readableHighWaterMark: pieceBytes });
    this.#options = options;
    this.#socket = options.socket;
    this.#socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    this.#socket.once('end', () => {
      this.#hasEnded = true;
      this.#passOn();
    });
    this.#socket.on('timeout', () => this.#handleTimeout());
    this.#socket.on('error', (error) => this.destroy(error));
    this.#socket.once('close', () => this.destroy());
  }

  /** Sets the part of the account that belongs to this connection. */
  set share(share: ConnectionShare) {
    this.#share = share;
  }

  /** Whether a request runs whose body has arrived. */
  get isBusy(): boolean {
    if (this.#awaitsClient()) return false;
    // The end of an answer may be left unread by the client.
    return [...this.#openResponses].some((response) => !response.writableEnded);
  }

  /** Whether the rest of a body that is sent to a backend server does not come. */
  get awaitsBody(): boolean {
    return this.#awaitsClient() && this.#bodyBytes > streamedBodyBytes;
  }

  /** Updates the bytes of answers that wait for earlier ones. */
  sample(): void {
    let bytes = 0;
    for (const response of this.#openResponses) {
      if (response.socket === null) bytes += response.writableLength;
    }
    this.#waitingAnswerBytes = bytes;
    this.#account();
    this.#passOn();
  }

  /**
   * Passes on nothing more. What still arrives is read and dropped: unread bytes would reset the
   * connection when it is closed, and hide that the client closes it.
   */
  discardInput(): void {
    this.#isDiscarding = true;
    this.#pending = noData;
    this.#socket.resume();
    this.#account();
  }

  /** Closes the connection for the account. */
  close(): void {
    this.destroy();
  }

  /** Counts a request until its answer is complete. */
  addRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#request = request;
    this.#headBytes = 0;
    this.#bodyBytes = 0;
    this.#openResponses.add(response);
    this.#account();
    if (this.#pending.length > 0) this.#yield();
    response.once('close', () => this.#removeRequest(response));
  }

  /** The interface of a socket that the HTTP server uses beyond that of a duplex stream. */
  setTimeout(milliseconds: number): this {
    this.#socket.setTimeout(milliseconds);
    return this;
  }

  destroySoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  resetAndDestroy(): this {
    resetConnection(this.#socket);
    return this.destroy();
  }

  override _read(): void {
    this.#isWanted = true;
    this.#passOn();
  }

  override _write(chunk: Buffer | string, encoding: BufferEncoding, callback: WriteCallback): void {
    this.#share?.recordSent(chunk.length);
    this.#socket.write(chunk, encoding, callback);
  }

  override _writev(writes: readonly PendingWrite[], callback: WriteCallback): void {
    this.#socket.cork();
    const last = writes.length - 1;
    writes.forEach(({ chunk, encoding }, index) => {
      this.#share?.recordSent(chunk.length);
      this.#socket.write(chunk, encoding, index === last ? callback : undefined);
    });
    this.#socket.uncork();
  }

  override _final(callback: WriteCallback): void {
    this.#socket.end(callback);
  }

  override _destroy(error: Error | null, callback: WriteCallback): void {
    this.#share?.release();
    this.#pending = noData;
    this.#socket.destroy();
    callback(error);
  }

  /**
   * Reports that the connection was idle for too long, unless something has arrived. After a stall of
   * the process, the timer comes before that is read.
   */
  #handleTimeout(): void {
    const received = this.#receivedBytes;
    setImmediate(() => {
      if (!this.destroyed && this.#receivedBytes === received) this.emit('timeout');
    });
  }

  #receive(chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    this.#share?.recordReceived(chunk.length);
    if (this.#isDiscarding) return;
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    this.#passOn();
    if (this.#pending.length === 0) return;
    this.#socket.pause();
    this.#account();
  }

  /** Passes on one piece if the HTTP server wants it; it asks for the next one by `_read`. */
  #passOn(): void {
    if (!this.#isWanted || this.destroyed || this.#isDiscarding) return;
    if (this.#pending.length === 0) {
      if (this.#hasEnded) {
        this.#isWanted = false;
        this.push(null);
      }
      return;
    }
    if (!this.#mayReadOn()) return;
    const piece = this.#pending.subarray(0, this.#nextPieceBytes());
    this.#pending = this.#pending.subarray(piece.length);
    if (this.#pending.length === 0) this.#pending = noData;
    this.#isWanted = false;
    this.#passedBytes += piece.length;
    if (this.#isInBody()) this.#bodyBytes += piece.length;
    else this.#headBytes += piece.length;
    this.push(piece);
    if (this.#headBytes > this.#options.maxHeadBytes()) this.#reject();
    else if (this.#pending.length === 0 && this.#socket.isPaused()) this.#socket.resume();
  }

  #reject(): void {
    if (this.#isDiscarding || this.destroyed) return;
    this.discardInput();
    this.#socket.pause();
    this.#options.onHeadTooLarge(this);
  }

  #mayReadOn(): boolean {
    if ((this.#share?.heldBytes ?? 0) > maxHeldBytes) return false;
    if (this.#isInBody()) return true;
    if (this.#isYielding) return false;
    const open = this.#openResponses.size;
    if (open === 0) return true;
    return open < maxOpenRequests && (this.#share?.mayReadAhead ?? true);
  }

  /**
   * Leaves the next request to the next turn of the event loop. Requests that are answered at once
   * would otherwise follow each other within one turn, and nothing else would be served meanwhile.
   */
  #yield(): void {
    if (this.#isYielding) return;
    this.#isYielding = true;
    setImmediate(() => {
      this.#isYielding = false;
      this.#passOn();
    });
  }

  /** Bytes up to the end of a head or a body, so that each request can be held back. */
  #nextPieceBytes(): number {
    const remaining = this.#remainingBodyBytes();
    if (remaining !== undefined) return Math.min(remaining, bodyPieceBytes);
    const end = this.#pending.indexOf(endOfHead, this.#emptyLineBytes());
    return end === -1 ? pieceBytes : Math.min(end + endOfHead.length, pieceBytes);
  }

  /** Bytes that are missing from a body with a length; `undefined` outside of one. */
  #remainingBodyBytes(): number | undefined {
    if (!this.#isInBody()) return undefined;
    const remaining = Number(this.#request?.headers['content-length']) - this.#bodyBytes;
    return remaining > 0 ? remaining : undefined;
  }

  /** Number of bytes of empty lines that precede a head. */
  #emptyLineBytes(): number {
    const maximum = Math.min(this.#pending.length, pieceBytes);
    let count = 0;
    while (count < maximum) {
      const byte = this.#pending[count];
      if (byte !== carriageReturn && byte !== lineFeed) break;
      count += 1;
    }
    return count;
  }

  /** Whether the rest of a body is still to come from the client. */
  #awaitsClient(): boolean {
    return this.#isWanted && this.#pending.length === 0 && this.#isInBody();
  }

  #isInBody(): boolean {
    return this.#request !== undefined && !this.#request.complete;
  }

  #removeRequest(response: ServerResponse): void {
    this.#openResponses.delete(response);
    if (this.#openResponses.size === 0) this.#passedBytes = 0;
    this.#account();
    this.#passOn();
  }

  #account(): void {
    const { size } = this.#openResponses;
    const open = size * requestBytes;
    const passed = Math.min(this.#passedBytes, maxHeldBodyBytes);
    const unread = this.writableLength + this.#waitingAnswerBytes;
    this.#share?.setWaitingRequests(Math.max(0, size - 1));
    this.#share?.hold(this.#pending.length + open + passed + unread);
  }
}
