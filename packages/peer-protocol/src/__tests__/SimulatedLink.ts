import type { RequestHead } from '@hickorybridge/types';

import { decodeFrame, encodeFrame, lengthPrefixBytes } from '../frameCodec.js';
import { BodyMode, FrameType, type Frame } from '../frame.js';
import { IncomingStream } from '../IncomingStream.js';
import { OutgoingStream, type StreamConnection } from '../OutgoingStream.js';
import type { RequestBody, RequestExecutor } from '../RequestExecutor.js';

const streamNumber = 1;

/** Carries one request between two processes, frame by frame, and can be cut after any frame. */
export class SimulatedLink {
  readonly outgoing: OutgoingStream;

  /** Whether each side still knows the stream. */
  readonly open = { caller: true, executor: false };

  /** Whether a side has sent a frame that the other takes for a violation of the protocol. */
  violated = false;

  readonly #executor: RequestExecutor;

  readonly #framesUntilCut: number;

  #incoming: IncomingStream | undefined;

  #delivered = 0;

  #cut = false;

  constructor(head: RequestHead, executor: RequestExecutor, framesUntilCut: number) {
    this.#executor = executor;
    this.#framesUntilCut = framesUntilCut;
    const connection = this.#createConnection('caller', (frame) => this.#handleAtExecutor(frame));
    this.outgoing = new OutgoingStream(connection, streamNumber, head.idempotent);
  }

  start(head: RequestHead, body: RequestBody): void {
    const bodyMode = body.type === 'stream' ? BodyMode.stream : BodyMode.none;
    const open = { type: FrameType.open, stream: streamNumber, head, bodyMode, body: undefined };
    this.#send(open, (frame) => this.#handleAtExecutor(frame));
    if (body.type === 'stream') this.outgoing.sendRequestBody(body.source);
  }

  /** Ends both sides as a lost connection does. */
  cut(): void {
    if (this.#cut) return;
    this.#cut = true;
    this.outgoing.lost('the link was cut');
    this.#incoming?.requestAborted('the link was cut');
  }

  #createConnection(
    side: keyof SimulatedLink['open'],
    handle: (frame: Frame) => void,
  ): StreamConnection {
    return {
      send: (frame) => this.#send(frame, handle),
      sendWhenWritable: (frame) => {
        this.#send(frame, handle);
        return new Promise((resolve) => {
          setImmediate(resolve);
        });
      },
      forget: () => {
        this.open[side] = false;
      },
    };
  }

  /** Immediates run in the order in which they were set, so frames keep their order. */
  #send(frame: Frame, handle: (frame: Frame) => void): void {
    const decoded = decodeFrame(encodeFrame(frame).subarray(lengthPrefixBytes));
    if (!decoded.ok) throw new Error(decoded.error.detail);
    setImmediate(() => {
      if (this.#cut) return;
      handle(decoded.value);
      this.#delivered += 1;
      if (this.#delivered > this.#framesUntilCut) this.cut();
    });
  }

  #handleAtExecutor(frame: Frame): void {
    if (frame.type === FrameType.open) {
      const handle = (answer: Frame) => this.#handleAtCaller(answer);
      this.open.executor = true;
      this.#incoming = new IncomingStream(this.#createConnection('executor', handle), frame);
      this.#incoming.run(this.#executor);
      return;
    }
    if (!this.open.executor || this.#incoming === undefined) return;
    if (frame.type === FrameType.body) {
      this.violated ||= !this.#incoming.receiveBody(frame.data, frame.end);
    } else if (frame.type === FrameType.credit) this.#incoming.addCredit(frame.bytes);
    else if (frame.type === FrameType.cancel) this.#incoming.cancel();
    else if (frame.type === FrameType.abort) this.#incoming.requestAborted(frame.detail);
  }

  #handleAtCaller(frame: Frame): void {
    if (!this.open.caller) return;
    if (frame.type === FrameType.answer) this.outgoing.answered(frame);
    else if (frame.type === FrameType.refuse) this.outgoing.refused(frame);
    else if (frame.type === FrameType.abort) this.outgoing.aborted(frame);
    else if (frame.type === FrameType.credit) this.outgoing.addCredit(frame.bytes);
    else if (frame.type === FrameType.body) {
      this.violated ||= !this.outgoing.receiveBody(frame.data, frame.end);
    }
  }
}
