import type { Readable } from 'node:stream';

import { discardBody } from './AnswerBody.js';
import { BodyReceiver } from './BodyReceiver.js';
import { CreditWindow, streamWindowBytes } from './flowControl.js';
import { BodyMode, FrameType, type OpenFrame } from './frame.js';
import type { StreamConnection } from './OutgoingStream.js';
import {
  LossCause,
  type ExecutionOutcome,
  type RequestBody,
  type RequestExecutor,
} from './RequestExecutor.js';
import { sendBody } from './sendBody.js';
import { StreamedBody } from './StreamedBody.js';

/** A request that a peer has sent to this process. */
export class IncomingStream {
  readonly #connection: StreamConnection;

  readonly #frame: OpenFrame;

  readonly #cancellation = new AbortController();

  readonly #answerCredit = new CreditWindow(streamWindowBytes);

  #requestBody: BodyReceiver | undefined;

  #answerBody: Readable | undefined;

  constructor(connection: StreamConnection, frame: OpenFrame) {
    this.#connection = connection;
    this.#frame = frame;
  }

  /** Runs the request and sends its outcome, straight down. */
  async run(executor: RequestExecutor): Promise<void> {
    const outcome = await this.#execute(executor);
    try {
      await this.#sendOutcome(outcome);
    } catch (error) {
      // The request may have run, and the peer waits for its outcome.
      if (outcome.type === 'answered') discardBody(outcome.body);
      await this.#sendOutcome({ type: 'lost', cause: LossCause.connection, detail: String(error) });
    }
    this.#connection.forget(this.#frame.stream);
    this.#requestBody?.destroy();
  }

  async #execute(executor: RequestExecutor): Promise<ExecutionOutcome> {
    const { head } = this.#frame;
    try {
      return await executor.execute(head, this.#createBody(), this.#cancellation.signal);
    } catch (error) {
      // The request may have been sent before the fault, so the peer must not take it for refused.
      return { type: 'lost', cause: LossCause.connection, detail: String(error) };
    }
  }

  addCredit(bytes: number): void {
    this.#answerCredit.add(bytes);
  }

  receiveBody(data: Buffer, end: boolean): boolean {
    return this.#requestBody?.receive(data, end) ?? false;
  }

  /** The caller's side does not want the answer any more, or is gone. */
  cancel(): void {
    this.#cancellation.abort();
    this.#answerCredit.close();
    this.#answerBody?.destroy();
  }

  /** The body of the request broke off at its source. */
  requestAborted(detail: string): void {
    this.#requestBody?.destroy(new Error(detail));
    this.cancel();
  }

  #createBody(): RequestBody {
    const { bodyMode, body, stream } = this.#frame;
    if (bodyMode === BodyMode.none) return { type: 'none' };
    if (bodyMode === BodyMode.inline) return { type: 'buffered', data: body as Buffer };
    const receiver = new BodyReceiver({
      grantCredit: (bytes) => this.#connection.send({ type: FrameType.credit, stream, bytes }),
      creditOnFirstRead: true,
      abandoned: () => {},
    });
    this.#requestBody = receiver;
    return { type: 'stream', source: new StreamedBody(receiver) };
  }

  async #sendOutcome(outcome: ExecutionOutcome): Promise<void> {
    const { stream } = this.#frame;
    switch (outcome.type) {
      case 'refused':
        this.#connection.send({
          type: FrameType.refuse,
          stream,
          reason: outcome.reason,
          report: outcome.report,
        });
        return;
      case 'lost':
        this.#connection.send({
          type: FrameType.abort,
          stream,
          detail: outcome.detail,
          deadlinePassed: outcome.cause === LossCause.deadline,
        });
        return;
      default:
        await this.#sendAnswer(outcome);
    }
  }

  async #sendAnswer(outcome: Extract<ExecutionOutcome, { type: 'answered' }>): Promise<void> {
    const { stream } = this.#frame;
    const { head, report, body } = outcome;
    const whole = body.type === 'whole' ? body.data : undefined;
    this.#connection.send({ type: FrameType.answer, stream, head, report, body: whole });
    if (body.type === 'stream') await this.#sendAnswerBody(body.stream);
  }

  async #sendAnswerBody(body: Readable): Promise<void> {
    const { stream } = this.#frame;
    this.#answerBody = body;
    try {
      const complete = await sendBody(body, this.#answerCredit, (data, end) =>
        this.#connection.sendWhenWritable({ type: FrameType.body, stream, data, end }),
      );
      if (!complete) body.destroy();
    } catch (error) {
      const detail = `the body of the answer broke off: ${String(error)}`;
      this.#connection.send({ type: FrameType.abort, stream, detail, deadlinePassed: false });
    }
  }
}
