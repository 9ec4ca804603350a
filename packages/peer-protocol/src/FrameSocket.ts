import { fail, succeed, type Result } from '@hickorybridge/types';
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

  readonly #chunks: AsyncIterator<Buffer>;

  #corked = false;

  #draining: Promise<void> | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
    // Errors reach the reading task through the iterator; this keeps a late one from being thrown.
    socket.on('error', () => {});
    this.#chunks = socket[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
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
    if (!this.#corked) {
      this.#corked = true;
      this.#socket.cork();
      process.nextTick(() => {
        this.#corked = false;
        this.#socket.uncork();
      });
    }
    this.#socket.write(buffer);
    return buffer.length;
  }

  /** Waits until the socket takes more; returns at once when it is not congested or is closed. */
  async drained(): Promise<void> {
    if (!this.congested || this.closed) return;
    // One pair of listeners serves all streams that wait.
    this.#draining ??= this.#waitForDrain();
    await this.#draining;
  }

  /** Gives the frames that are complete already, without waiting. */
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
      const more = await this.receive();
      if (!more.ok) return more;
    }
  }

  /** Waits for more bytes of the socket. */
  async receive(): Promise<Result<undefined, FrameSocketError>> {
    try {
      const { done, value } = await this.#chunks.next();
      if (done === true) return fail({ type: 'closed', detail: 'the peer closed the connection' });
      this.#reader.push(value);
      return succeed(undefined);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return fail({ type: 'closed', detail });
    }
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
