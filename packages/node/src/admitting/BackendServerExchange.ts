import {
  keepErrorAsState,
  LossCause,
  maxWholeBodyBytes,
  type AnswerBody,
} from '@hickorybridge/peer-protocol';
import type { AnswerHead, HeaderList } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';

import { HeaderName } from '../headerNames.js';
import { withoutConnectionHeaders } from './backendServerHeaders.js';

type Controller = Dispatcher.DispatchController;
type IncomingHeaders = Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>[2];

/** How sending a request to a backend server ended, before the load report is added. */
export type BackendServerOutcome =
  | { readonly type: 'answered'; readonly head: AnswerHead; readonly body: AnswerBody }
  | {
      readonly type: 'not-run';
      readonly reason:
        'connection-refused' | 'backend-server-shed' | 'deadline-passed' | 'cancelled';
    }
  | { readonly type: 'lost'; readonly cause: LossCause; readonly detail: string };

/** One request to a backend server and its answer, as undici's client reports them. */
export class BackendServerExchange implements Dispatcher.DispatchHandler {
  readonly outcome: Promise<BackendServerOutcome>;

  readonly #deadline: number;

  readonly #clock: Clock;

  #resolve!: (outcome: BackendServerOutcome) => void;

  #controller: Controller | undefined;

  #cancelReason: 'deadline-passed' | 'cancelled' | undefined;

  /** True once the client has begun to write the request. Before that it surely did not run. */
  #written = false;

  #settled = false;

  #head: AnswerHead | undefined;

  #shed = false;

  /** The chunks of a small body, until it is complete. */
  #chunks: Buffer[] | undefined;

  #stream: Readable | undefined;

  constructor(deadline: number, clock: Clock) {
    this.#deadline = deadline;
    this.#clock = clock;
    this.outcome = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Ends the exchange by closing its connection. */
  cancel(reason: 'deadline-passed' | 'cancelled'): void {
    this.#cancelReason = reason;
    if (this.#controller === undefined) this.#settle({ type: 'not-run', reason });
    else this.#controller.abort(new Error(`the exchange was ended: ${reason}`));
  }

  onRequestStart(controller: Controller): void {
    if (this.#written) {
      // The client would write the request a second time, after it may have run.
      controller.abort(new Error('the connection broke while the request was written'));
      return;
    }
    // The last moment at which the request surely has not run: the process may have been paused.
    if (this.#clock.now() >= this.#deadline) this.#cancelReason ??= 'deadline-passed';
    if (this.#cancelReason !== undefined) {
      controller.abort(new Error(`the request was not sent: ${this.#cancelReason}`));
      return;
    }
    this.#controller = controller;
    this.#written = true;
  }

  onResponseStart(_controller: Controller, status: number, headers: IncomingHeaders): void {
    // Interim answers (1xx) come before the final one and are not passed on.
    if (status < 200) return;
    this.#head = { status, headers: toHeaderList(headers) };
    this.#shed = status === 503 && headers[HeaderName.notRun] === 'true';
    const length = Number(headers['content-length'] ?? Number.NaN);
    const bodiless = status === 204 || status === 304;
    if (this.#shed || bodiless || length <= maxWholeBodyBytes) this.#chunks = [];
    else this.#startStream(this.#head);
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.#chunks !== undefined) this.#chunks.push(chunk);
    else if (this.#stream?.push(chunk) === false) controller.pause();
  }

  onResponseEnd(): void {
    if (this.#shed) {
      this.#settle({ type: 'not-run', reason: 'backend-server-shed' });
      return;
    }
    this.#stream?.push(null);
    if (this.#chunks === undefined || this.#head === undefined) return;
    const [first] = this.#chunks;
    const single = this.#chunks.length === 1 && first !== undefined;
    const data = single ? first : Buffer.concat(this.#chunks);
    this.#settle({ type: 'answered', head: this.#head, body: { type: 'whole', data } });
  }

  onResponseError(_controller: Controller | null, error: Error): void {
    this.#stream?.destroy(error);
    if (this.#written) {
      this.#settle(this.#describeLoss(error));
      return;
    }
    this.#settle({ type: 'not-run', reason: this.#cancelReason ?? 'connection-refused' });
  }

  #describeLoss(error: Error): BackendServerOutcome {
    if (this.#cancelReason === 'deadline-passed') {
      const detail = 'the deadline passed while the request ran';
      return { type: 'lost', cause: LossCause.deadline, detail };
    }
    const detail = `request to the backend server failed: ${error.message}`;
    return { type: 'lost', cause: LossCause.connection, detail };
  }

  #startStream(head: AnswerHead): void {
    const stream = new Readable({
      read: () => this.#controller?.resume(),
      destroy: (error, callback) => {
        if (!stream.readableEnded) this.#controller?.abort(error ?? new Error('answer not wanted'));
        callback(error);
      },
    });
    keepErrorAsState(stream);
    this.#stream = stream;
    this.#settle({ type: 'answered', head, body: { type: 'stream', stream } });
  }

  #settle(outcome: BackendServerOutcome): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#resolve(outcome);
  }
}

function toHeaderList(headers: IncomingHeaders): HeaderList {
  const list: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (Array.isArray(value)) for (const item of value) list.push(name, item);
    else if (value !== undefined) list.push(name, value);
  }
  return withoutConnectionHeaders(list);
}
