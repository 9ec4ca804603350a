import { fail, succeed, type Result } from '@hickorybridge/types';

import { lengthPrefixBytes, type MalformedFrame } from './frameCodec.js';

/** An object for each piece would take more memory than the bytes of small pieces. */
const maxChunks = 64;

/** Cuts a byte stream into the payloads of frames. Holds at most one incomplete frame. */
export class FrameReader {
  #chunks: Buffer[] = [];

  #bufferedBytes = 0;

  #maxPayloadBytes: number;

  constructor(maxPayloadBytes: number) {
    this.#maxPayloadBytes = maxPayloadBytes;
  }

  /** Allows larger frames, once the peer has proved who it is. */
  set maxPayloadBytes(bytes: number) {
    this.#maxPayloadBytes = bytes;
  }

  /** Bytes of frames that are not complete or not taken yet. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  push(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    if (this.#chunks.length > maxChunks) this.#join();
  }

  /** Gives the next payload, or `undefined` while it is incomplete. */
  next(): Result<Buffer | undefined, MalformedFrame> {
    if (this.#bufferedBytes < lengthPrefixBytes) return succeed(undefined);
    const length = this.#peekLength();
    if (length > this.#maxPayloadBytes) {
      const detail = `a frame of ${length} bytes exceeds the limit of ${this.#maxPayloadBytes}`;
      return fail({ type: 'malformed-frame', detail });
    }
    const total = lengthPrefixBytes + length;
    if (this.#bufferedBytes < total) return succeed(undefined);
    return succeed(this.#take(total).subarray(lengthPrefixBytes));
  }

  #peekLength(): number {
    const [first] = this.#chunks;
    if (first !== undefined && first.length >= lengthPrefixBytes) return first.readUInt32BE(0);
    this.#join();
    return (this.#chunks[0] as Buffer).readUInt32BE(0);
  }

  #take(bytes: number): Buffer {
    if ((this.#chunks[0] as Buffer).length < bytes) this.#join();
    const first = this.#chunks[0] as Buffer;
    this.#bufferedBytes -= bytes;
    if (first.length === bytes) this.#chunks.shift();
    else this.#chunks[0] = first.subarray(bytes);
    return first.subarray(0, bytes);
  }

  #join(): void {
    this.#chunks = [Buffer.concat(this.#chunks)];
  }
}
