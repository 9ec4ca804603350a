import { BodyReceiver } from './BodyReceiver.js';
import { CreditWindow } from './flowControl.js';
import {
  FrameType,
  type AbortFrame,
  type AnswerFrame,
  type Frame,
  type RefuseFrame,
} from './frame.js';
import { LossCause, type ExecutionOutcome } from './RequestExecutor.js';
import { sendBody } from './sendBody.js';
import type { StreamedBody } from './StreamedBody.js';

/** What a stream needs from its connection. */
export interface StreamConnection {
  send(frame: Frame): void;
  sendWhenWritable(frame: Frame): Promise<void> | undefined;
  /** Forgets the stream; later frames for it are dropped and counted. */
  forget(stream: number): void;
}

/** A request that this process has sent to a peer. */
export class OutgoingStream {
  readonly outcome: Promise<ExecutionOutcome>;

  /** Whether the request may run once more elsewhere. */
  readonly idempotent: boolean;

  readonly #connection: StreamConnection;

  readonly #stream: number;

  readonly #bodyCredit = new CreditWindow(0);

  #resolve!: (outcome: ExecutionOutcome) => void;

  #settled = false;

  #body: BodyReceiver | undefined;

  constructor(connection: StreamConnection, stream: number, idempotent: boolean) {
    this.idempotent = idempotent;
    this.#connection = connection;
    this.#stream = stream;
    this.outcome = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /**
   * Sends the body of the request as the peer grants credit. The body is taken with the first credit,
   * so that it can be sent to another host when the peer refuses the request without reading it.
   */
  async sendRequestBody(source: StreamedBody): Promise<void> {
    if (!(await this.#bodyCredit.isGranted())) return;
    try {
      const body = source.take();
      if (body === undefined) throw new Error('it is not available any more');
      await sendBody(body, this.#bodyCredit, (data, end) =>
        this.#connection.sendWhenWritable({
          type: FrameType.body,
          stream: this.#stream,
          data,
          end,
        }),
      );
    } catch (error) {
      const detail = `the body of the request broke off: ${String(error)}`;
      const stream = this.#stream;
      this.#connection.send({ type: FrameType.abort, stream, detail, deadlinePassed: false });
    }
  }

  cancel(): void {
    if (!this.#settled) this.#connection.send({ type: FrameType.cancel, stream: this.#stream });
  }

  addCredit(bytes: number): void {
    this.#bodyCredit.add(bytes);
  }

  answered(frame: AnswerFrame): void {
    if (this.#settled) return;
    const { body: data, head, report } = frame;
    if (data !== undefined) {
      this.#finish();
      this.#settle({ type: 'answered', head, report, body: { type: 'whole', data } });
      return;
    }
    const stream = new BodyReceiver({
      grantCredit: (bytes) =>
        this.#connection.send({ type: FrameType.credit, stream: this.#stream, bytes }),
      creditOnFirstRead: false,
      declaredBytes: head.contentLength,
      abandoned: () => this.#abandon(),
    });
    this.#body = stream;
    this.#settle({ type: 'answered', head, report, body: { type: 'stream', stream } });
  }

  refused(frame: RefuseFrame): void {
    this.#finish();
    this.#settle({ type: 'refused', reason: frame.reason, report: frame.report });
  }

  aborted(frame: AbortFrame): void {
    this.lost(frame.detail, frame.deadlinePassed ? LossCause.deadline : LossCause.connection);
  }

  /** The stream cannot be completed: the peer said so, or the connection is gone. */
  lost(detail: string, cause: LossCause = LossCause.connection): void {
    this.#finish();
    this.#settle({ type: 'lost', cause, detail });
    this.#body?.destroy(new Error(detail));
  }

  /** Takes in data of the answer; false when the peer broke the protocol. */
  receiveBody(data: Buffer, end: boolean): boolean {
    if (this.#body === undefined) return false;
    if (end) this.#finish();
    return this.#body.receive(data, end);
  }

  #abandon(): void {
    this.#connection.send({ type: FrameType.cancel, stream: this.#stream });
    this.#finish();
  }

  #finish(): void {
    this.#bodyCredit.close();
    this.#connection.forget(this.#stream);
  }

  #settle(outcome: ExecutionOutcome): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#resolve(outcome);
  }
}
