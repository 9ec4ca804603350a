import { Readable } from 'node:stream';

import { keepErrorAsState } from './AnswerBody.js';
import { creditBatchBytes, streamWindowBytes } from './flowControl.js';

/** What a body receiver needs from its connection. */
export interface BodyReceiverOptions {
  /** Tells the sender that it may send that many more bytes. */
  readonly grantCredit: (bytes: number) => void;
  /** The sender may send nothing before the first read, so that an unread body stays whole. */
  readonly creditOnFirstRead: boolean;
  /** Length that the sender declared for the whole body, if it did. */
  readonly declaredBytes?: number | undefined;
  /** The reader went away before the end of the body. */
  readonly abandoned: () => void;
}

/** The receiving end of a body: a stream whose reader paces the sender. */
export class BodyReceiver extends Readable {
  readonly #options: BodyReceiverOptions;

  readonly #waiting: Buffer[] = [];

  #ended = false;

  #wantsData = false;

  /** Bytes that the sender may still send. */
  #window: number;

  #creditPending: boolean;

  #consumedSinceCredit = 0;

  #receivedBytes = 0;

  constructor(options: BodyReceiverOptions) {
    super({ highWaterMark: creditBatchBytes });
    this.#options = options;
    this.#window = options.creditOnFirstRead ? 0 : streamWindowBytes;
    this.#creditPending = options.creditOnFirstRead;
    keepErrorAsState(this);
  }

  /** Takes in data from the peer. Returns false when the peer sent more than it was allowed. */
  receive(data: Buffer, end: boolean): boolean {
    if (this.destroyed || this.#ended) return true;
    this.#window -= data.length;
    if (this.#window < 0) return false;
    this.#receivedBytes += data.length;
    this.#ended = end;
    if (!this.#fitsDeclaredLength()) {
      const { declaredBytes } = this.#options;
      const detail = `${this.#receivedBytes} bytes of a body of ${declaredBytes} bytes came`;
      this.destroy(new Error(detail));
      return true;
    }
    if (data.length > 0) this.#waiting.push(data);
    this.#deliver();
    return true;
  }

  /** Whether the bytes so far, or all of them at the end, fit the declared length. */
  #fitsDeclaredLength(): boolean {
    const { declaredBytes } = this.#options;
    if (declaredBytes === undefined) return true;
    return this.#ended
      ? this.#receivedBytes === declaredBytes
      : this.#receivedBytes <= declaredBytes;
  }

  override _read(): void {
    this.#wantsData = true;
    if (this.#creditPending) {
      this.#creditPending = false;
      this.#grant(streamWindowBytes);
    }
    this.#deliver();
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    if (!this.#ended) this.#options.abandoned();
    this.#waiting.length = 0;
    callback(error);
  }

  #deliver(): void {
    while (this.#wantsData && this.#waiting.length > 0) {
      const data = this.#waiting.shift() as Buffer;
      this.#wantsData = this.push(data);
      this.#consumed(data.length);
    }
    if (this.#ended && this.#waiting.length === 0 && this.#wantsData) {
      this.#wantsData = false;
      this.push(null);
    }
  }

  #consumed(bytes: number): void {
    this.#consumedSinceCredit += bytes;
    if (this.#ended || this.#consumedSinceCredit < creditBatchBytes) return;
    this.#grant(this.#consumedSinceCredit);
    this.#consumedSinceCredit = 0;
  }

  #grant(bytes: number): void {
    this.#window += bytes;
    this.#options.grantCredit(bytes);
  }
}
