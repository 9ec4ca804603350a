import { fail, succeed, type Result } from '@hickorybridge/types';
import type { ConnectionShare } from '@hickorybridge/utils';
import type { Socket } from 'node:net';

import { maxHandshakeFrameBytes, type Frame } from './frame.js';
import { decodeFrame, encodeFrame, type MalformedFrame } from './frameCodec.js';
import { FrameReader } from './FrameReader.js';

/** Why no further frame came. */
export type FrameSocketError =
  MalformedFrame | { readonly type: 'closed'; readonly detail: string };

/** A peer that reads nothing does not hold up the end of this process for longer. */
const closeTimeoutMilliseconds = 500;

/** Sends and receives frames on one socket. */
export class FrameSocket {
  readonly #socket: Socket;

  readonly #reader = new FrameReader(maxHandshakeFrameBytes);

  /** Why no more bytes come; `undefined` while the socket is open. */
  #closeReason: string | undefined;

  /** Called after bytes have arrived and after the end of the socket. */
  #onReceive: (() => void) | undefined;

  /** Frames that were written in this turn of the event loop. */
  #unsent: Buffer[] = [];

  #draining: Promise<void> | undefined;

  /** `share` is the part of an account that belongs to the socket. */
  constructor(socket: Socket, share?: ConnectionShare) {
    this.#socket = socket;
    socket.setNoDelay(true);
    // Listeners instead of an iterator, which costs several promises for each chunk.
    socket.on('data', (chunk: Buffer) => {
      this.#reader.push(chunk);
      this.#onReceive?.();
      share?.recordReceived(chunk.length);
      share?.hold(this.#reader.bufferedBytes + socket.writableLength);
    });
    socket.once('close', () => share?.release());
    socket.on('error', (error) => this.#handleClose(error.message));
    socket.once('end', () => this.#handleClose('the peer closed the connection'));
    socket.once('close', () => this.#handleClose('the connection was closed'));
  }

  get remoteAddress(): string {
    return `${this.#socket.remoteAddress ?? 'unknown'}:${this.#socket.remotePort ?? 0}`;
  }

  /** True while the operating system does not take what was written fast enough. */
  get congested(): boolean {
    return this.#socket.writableNeedDrain;
  }

  get closed(): boolean {
    return this.#socket.destroyed;
  }

  /** Allows larger frames, once the handshake is complete. */
  allowPayload(bytes: number): void {
    this.#reader.maxPayloadBytes = bytes;
  }

  /** Writes a frame; frames of one turn of the event loop leave together. Returns its bytes. */
  write(frame: Frame): number {
    const buffer = encodeFrame(frame);
    this.#unsent.push(buffer);
    if (this.#unsent.length === 1) process.nextTick(() => this.#flush());
    return buffer.length;
  }

  /** Writes the collected frames at once, which costs less than corking the socket. */
  #flush(): void {
    const [first] = this.#unsent;
    if (first === undefined) return;
    const data = this.#unsent.length === 1 ? first : Buffer.concat(this.#unsent);
    this.#unsent = [];
    if (this.#socket.writable) this.#socket.write(data);
  }

  /** Waits until the socket takes more; returns at once when it is not congested or is closed. */
  async drained(): Promise<void> {
    if (!this.congested || this.closed) return;
    // One pair of listeners serves all streams that wait.
    this.#draining ??= this.#waitForDrain();
    await this.#draining;
  }

  /** Why no further bytes come; `undefined` while the socket is open. */
  get closeReason(): string | undefined {
    return this.#closeReason;
  }

  /** Calls the listener after bytes have arrived and after the end of the socket. */
  onReceive(listener: () => void): void {
    this.#onReceive = listener;
  }

  /** Gives the next frame if it is complete already, without waiting. */
  takeBuffered(): Result<Frame | undefined, FrameSocketError> {
    const payload = this.#reader.next();
    if (!payload.ok) return payload;
    if (payload.value === undefined) return succeed(undefined);
    return decodeFrame(payload.value);
  }

  /** Waits for the next frame. */
  async read(): Promise<Result<Frame, FrameSocketError>> {
    for (;;) {
      const frame = this.takeBuffered();
      if (!frame.ok) return frame;
      if (frame.value !== undefined) return succeed(frame.value);
      if (this.#closeReason !== undefined)
        return fail({ type: 'closed', detail: this.#closeReason });
      await new Promise<void>((resolve) => {
        this.onReceive(resolve);
      });
    }
  }

  #handleClose(reason: string): void {
    if (this.#closeReason !== undefined) return;
    this.#closeReason = reason;
    this.#onReceive?.();
  }

  async #waitForDrain(): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = () => {
        this.#socket.off('drain', finish);
        this.#socket.off('close', finish);
        resolve();
      };
      this.#socket.once('drain', finish);
      this.#socket.once('close', finish);
    });
    this.#draining = undefined;
  }

  /** Sends what was written and closes; resolves when the socket is closed or time has run out. */
  async end(): Promise<void> {
    if (this.closed) return;
    this.#flush();
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, closeTimeoutMilliseconds);
      this.#socket.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
      this.#socket.end();
      this.#socket.destroySoon();
    });
  }

  destroy(): void {
    this.#socket.destroy();
  }
}
