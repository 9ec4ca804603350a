import {
  keepErrorAsState,
  LossCause,
  maxWholeBodyBytes,
  type AnswerBody,
  type RequestBody,
} from '@hickorybridge/peer-protocol';
import { decodeLoadFigures, HeaderNames } from '@hickorybridge/platform';
import {
  isBodilessStatus,
  isFinalStatus,
  mayDeclareBody,
  type AnswerHead,
  type LoadFigures,
  type RequestHead,
} from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';

import { endToEndHeaders, findMalformedName } from '../headers.js';
import type { ConnectionAgent } from './ConnectionAgent.js';

/** The result of sending a request to a backend server. */
export type ExchangeOutcome =
  | { readonly type: 'answered'; readonly head: AnswerHead; readonly body: AnswerBody }
  /** The backend server certainly did not run the request. */
  | { readonly type: 'not-run'; readonly reason: NotRunReason }
  /** The backend server may have run the request. */
  | { readonly type: 'lost'; readonly cause: LossCause; readonly detail: string };

/** Why the backend server did not run a request; the values are refusal reasons of the protocol. */
export const NotRunReason = {
  connectionRefused: 'connection-refused',
  shed: 'backend-server-shed',
  misdirected: 'misdirected',
  cancelled: 'cancelled',
  notSendable: 'not-sent',
} as const;

export type NotRunReason = (typeof NotRunReason)[keyof typeof NotRunReason];

export interface ExchangeOptions {
  readonly agent: ConnectionAgent;
  readonly host: string;
  readonly port: number;
  readonly head: RequestHead;
  readonly body: RequestBody;
  readonly clock: Clock;
  readonly onLoad: (figures: LoadFigures) => void;
  /**
   * Called when, as far as this node knows, the backend server no longer works on the request.
   * `served` is true after a complete answer that is not a server error.
   */
  readonly onEnd: (served: boolean) => void;
}

/** 421 Misdirected Request: another backend server answers at this address. */
const misdirectedStatus = 421;
const minServerErrorStatus = 500;
/** With a larger body than this, closing the connection is cheaper than reading the rejection. */
const maxRejectionBytes = 64 * 1024;
/** Any other last coding ends with the connection (RFC 9112, section 6.3). */
const chunkedLast = /(?:^|[\s,])chunked\s*$/i;
/**
 * A 304 that declares a body is held for this long, since a body may follow although none is allowed.
 * The backend server is on this host, so that its bytes arrive soon after the head.
 */
const bodyArrivalMilliseconds = 20;
const noData = Buffer.alloc(0);

/** How the end of an answer's body is told. */
const Framing = {
  /** The answer has no body, whatever length it declares. */
  none: 'none',
  length: 'length',
  chunked: 'chunked',
  connection: 'connection',
} as const;

type Framing = (typeof Framing)[keyof typeof Framing];

/**
 * The head is complete before there is a connection, and states the time that was left then. It is
 * not sent if a connection took longer than this.
 */
const maxHeadAgeMilliseconds = 400;

/** Sends one request to the backend server of this host and receives its answer. */
export class BackendServerExchange {
  readonly outcome: Promise<ExchangeOutcome>;

  readonly #options: ExchangeOptions;

  readonly #request: ClientRequest;

  #resolve!: (outcome: ExchangeOutcome) => void;

  #settled = false;

  #endReported = false;

  /** True once bytes of the request may have reached the backend server. */
  #mayHaveSent = false;

  /** When the head was made. */
  #headAt = 0;

  #answer: IncomingMessage | undefined;

  #cancelCause: LossCause | undefined;

  /** True once this node has broken off the exchange. */
  #aborted = false;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.outcome = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.#request = this.#start();
  }

  /** Ends the exchange by closing its connection. */
  cancel(cause: LossCause): void {
    this.#cancelCause ??= cause;
    this.#abort('the request was cancelled');
  }

  /**
   * Closes the connection. Node.js then drops what the answer has buffered, and still marks the
   * answer as complete if its last byte had been parsed.
   */
  #abort(reason: string): void {
    this.#aborted = true;
    this.#request.destroy(new Error(reason));
    // Without this, an answer that is complete and paused would not end.
    this.#answer?.destroy();
  }

  #start(): ClientRequest {
    const { agent, body, head, host, port } = this.#options;
    const outgoing = request({
      agent,
      host,
      port,
      method: head.method,
      path: head.target,
      headers: this.#headers() as unknown as Record<string, string>,
    });
    outgoing.once('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => this.#handleConnect(outgoing));
      else this.#handleConnect(outgoing);
    });
    outgoing.once('response', (answer) => {
      try {
        this.#handleAnswer(answer);
      } catch (error) {
        this.#reject(`a fault of this node: ${String(error)}`);
      }
    });
    outgoing.on('error', (error) => {
      // Once the answer has started, onAnswerEnd reports whether it is complete.
      if (this.#answer === undefined) this.#fail(error.message);
      // Excess bytes are a body here. After an answer with a length they do not belong to it.
      else if (this.#isBodiless(this.#answer))
        this.#reject('the answer has a body that its status excludes');
    });
    outgoing.once('close', () => {
      if (this.#answer === undefined) this.#fail('the connection was closed without an answer');
    });
    if (body.type !== 'stream') outgoing.end(body.type === 'buffered' ? body.data : undefined);
    return outgoing;
  }

  #handleConnect(outgoing: ClientRequest): void {
    const { body, clock } = this.#options;
    if (clock.now() - this.#headAt > maxHeadAgeMilliseconds) {
      outgoing.destroy(new Error('the connection came too late'));
      return;
    }
    // A streamed body is taken only now, so that it can be sent elsewhere when the connection fails.
    const stream = body.type === 'stream' ? body.source.take() : undefined;
    if (body.type === 'stream' && stream === undefined) {
      outgoing.destroy(new Error('the body of the request is not available any more'));
      return;
    }
    this.#mayHaveSent = true;
    stream?.once('error', () => this.#abort('the body of the request broke off'));
    stream?.pipe(outgoing);
  }

  #headers(): string[] {
    const { body, clock, head } = this.#options;
    this.#headAt = clock.now();
    const remaining = Math.max(1, Math.floor(head.deadline - this.#headAt));
    const headers = [
      ...head.headers,
      HeaderNames.remainingMilliseconds,
      String(remaining),
      HeaderNames.expectedBackendServer,
      head.backendServerId,
    ];
    if (body.type === 'buffered') headers.push('content-length', String(body.data.length));
    if (body.type === 'stream') headers.push('transfer-encoding', 'chunked');
    if (body.type === 'none' && head.method === 'POST') headers.push('content-length', '0');
    return headers;
  }

  #handleAnswer(answer: IncomingMessage): void {
    const { head, onLoad } = this.#options;
    const { headers } = answer;
    this.#answer = answer;
    answer.on('error', () => {});
    const figures = decodeLoadFigures(firstValue(headers[HeaderNames.load]));
    if (figures !== undefined) onLoad(figures);
    // A different request id marks a stale answer to an earlier request on this connection.
    const answersThisRequest = firstValue(headers[HeaderNames.requestId]) === head.requestId;
    const status = answer.statusCode ?? 0;
    const malformedName = findMalformedName(answer.rawHeaders);
    if (!answersThisRequest) {
      // Holds for rejections, too: one that is sent again must not vouch for this request.
      this.#reject('the answer belongs to another request');
    } else if (malformedName !== undefined) {
      this.#reject(`the answer has a header with the malformed name "${malformedName}"`);
    } else if (!isFinalStatus(status)) {
      this.#reject(`the answer has the status ${status}`);
    } else if (this.#isBodiless(answer) && !mayDeclareBody(status) && declaresBody(answer)) {
      this.#reject(`the answer has the status ${status} and declares a body`);
    } else if (status === misdirectedStatus) {
      this.#settleNotRun(answer, NotRunReason.misdirected);
    } else if (headers[HeaderNames.notRun] !== undefined) {
      this.#settleNotRun(answer, NotRunReason.shed);
    } else if (headers['content-encoding'] !== undefined) {
      this.#reject('the answer has an encoding that was not asked for');
    } else if (status < 300 && headers[HeaderNames.signature] === undefined) {
      this.#reject('the answer is not signed');
    } else {
      this.#readBody(answer, status);
    }
  }

  #settleNotRun(answer: IncomingMessage, reason: NotRunReason): void {
    let bytes = 0;
    answer.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxRejectionBytes) this.#abort('the rejection is too long');
    });
    answer.once('close', () => this.#end(false));
    this.#settle({ type: 'not-run', reason });
  }

  #reject(detail: string): void {
    this.#abort(detail);
    this.#fail(detail);
  }

  #readBody(answer: IncomingMessage, status: number): void {
    const framing = this.#framingOf(answer);
    const head = createAnswerHead(answer, status, framing);
    if (framing === Framing.length && head.contentLength !== undefined) {
      this.#streamBody(answer, head);
      return;
    }
    if (this.#isBodiless(answer) && declaresBody(answer)) {
      this.#awaitNoBody(answer, head);
      return;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    answer.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size <= maxWholeBodyBytes || chunks.length === 0) return;
      answer.removeAllListeners('data');
      this.#streamBody(answer, head, chunks.splice(0));
    });
    this.#onAnswerEnd(answer, (complete) => {
      if (this.#settled) return;
      if (!complete) {
        this.#fail('the answer broke off');
        return;
      }
      const data = framing === Framing.none ? noData : Buffer.concat(chunks);
      this.#settle({ type: 'answered', head, body: { type: 'whole', data } });
      this.#end(status < minServerErrorStatus);
    });
  }

  /**
   * Answers unless a body follows. The answer is not read, so that its connection takes no other
   * request, and the connection is closed, because a body may still follow.
   */
  async #awaitNoBody({ socket }: IncomingMessage, head: AnswerHead): Promise<void> {
    const rejectBody = () => this.#reject('the answer has a body that its status excludes');
    socket.once('data', rejectBody);
    await this.#options.clock.sleep(bodyArrivalMilliseconds);
    socket.off('data', rejectBody);
    this.#settle({ type: 'answered', head, body: { type: 'whole', data: noData } });
    this.#end(true);
    this.#request.destroy();
  }

  /** Streams a large body as it arrives; the stream fails if the answer ends early. */
  #streamBody(answer: IncomingMessage, head: AnswerHead, first: readonly Buffer[] = []): void {
    const stream = keepErrorAsState(new PassThrough());
    for (const chunk of first) stream.write(chunk);
    this.#onAnswerEnd(answer, (complete) => {
      if (complete) stream.end();
      else stream.destroy(new Error('the answer broke off'));
      this.#end(complete && head.status < minServerErrorStatus);
    });
    stream.once('close', () => {
      if (!answer.readableEnded) this.#abort('the answer is not wanted');
    });
    answer.pipe(stream, { end: false });
    this.#settle({ type: 'answered', head, body: { type: 'stream', stream } });
  }

  /** Calls the listener when an answer has ended, with whether all of it was received. */
  #onAnswerEnd(answer: IncomingMessage, listener: (complete: boolean) => void): void {
    const endsWithConnection = this.#framingOf(answer) === Framing.connection;
    onAnswerEnd(answer, endsWithConnection, (complete) => listener(complete && !this.#aborted));
  }

  /** Whether the status of the answer, and not the method, excludes a body. */
  #isBodiless({ statusCode = 0 }: IncomingMessage): boolean {
    return this.#options.head.method !== 'HEAD' && isBodilessStatus(statusCode);
  }

  #framingOf(answer: IncomingMessage): Framing {
    return this.#options.head.method === 'HEAD' ? Framing.none : framingOf(answer);
  }

  #fail(detail: string): void {
    const cancelled = this.#cancelCause;
    if (!this.#mayHaveSent) {
      const reason =
        cancelled === undefined ? NotRunReason.connectionRefused : NotRunReason.cancelled;
      this.#settle({ type: 'not-run', reason });
    } else {
      this.#settle({ type: 'lost', cause: cancelled ?? LossCause.connection, detail });
    }
    this.#end(false);
  }

  #settle(outcome: ExchangeOutcome): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#resolve(outcome);
  }

  #end(served: boolean): void {
    if (this.#endReported) return;
    this.#endReported = true;
    // A backend server may answer an upload early and read on. Nobody sends the rest any more, and the
    // connection cannot take another request in its place.
    if (!this.#request.writableFinished) this.#request.destroy();
    this.#options.onEnd(served);
  }
}

/**
 * Calls the listener when an answer has ended, with whether it is complete. An answer without a
 * length is delimited by the end of its connection, and Node.js marks it as complete even if the
 * connection was reset.
 */
function onAnswerEnd(
  answer: IncomingMessage,
  endsWithConnection: boolean,
  listener: (complete: boolean) => void,
): void {
  const { socket } = answer;
  let wasReset = false;
  // libuv takes a reset for a normal end when it polls the reset together with the last bytes. Only a
  // connection that was reset has no remote address any more. The client of Node.js closes the
  // connection in its own listener, so this one has to come first.
  const handleEnd = () => {
    wasReset = socket.remoteAddress === undefined;
  };
  if (endsWithConnection) socket.prependOnceListener('end', handleEnd);
  answer.once('close', () => {
    // Excess bytes after an answer with a length break the connection, but not that answer.
    if (!endsWithConnection) listener(answer.complete);
    else if (!answer.complete || socket.closed) {
      listener(answer.complete && socket.errored === null && !wasReset);
    } else {
      socket.once('close', (hadError: boolean) => listener(!hadError && !wasReset));
    }
  });
}

function framingOf({ headers, statusCode = 0 }: IncomingMessage): Framing {
  if (isBodilessStatus(statusCode)) return Framing.none;
  if (headers['content-length'] !== undefined) return Framing.length;
  return chunkedLast.test(headers['transfer-encoding'] ?? '')
    ? Framing.chunked
    : Framing.connection;
}

function declaresBody({ headers }: IncomingMessage): boolean {
  const length = headers['content-length'];
  return headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

function createAnswerHead(
  { headers, rawHeaders }: IncomingMessage,
  status: number,
  framing: Framing,
): AnswerHead {
  const head: AnswerHead = { status, headers: endToEndHeaders(rawHeaders) };
  if (framing === Framing.connection) return { ...head, endsWithConnection: true };
  const contentLength = Number(headers['content-length'] ?? Number.NaN);
  const isHeldWhole = framing === Framing.length && contentLength <= maxWholeBodyBytes;
  if (isHeldWhole || !Number.isSafeInteger(contentLength)) return head;
  return { ...head, contentLength };
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
