import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { buffer } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';

import { closeHttp, listenHttp, urlOf } from '../httpListener.js';

/** How the next requests are answered. */
export const BackendFault = {
  none: 'none',
  /** 503 with the proof that the request did not run. */
  shed: 'shed',
  /** Rejects the first request of each connection, and writes that rejection again for the next. */
  repeatedRefusal: 'repeated-refusal',
  /** The same with the rejection of a backend server that is not the expected one. */
  repeatedMisdirection: 'repeated-misdirection',
  /** Runs the request and closes the connection without an answer. */
  loseAnswer: 'lose-answer',
  /** Answers with the id of another request. */
  wrongId: 'wrong-id',
  /** Sends half of the declared length and resets. */
  truncate: 'truncate',
  /** Sends a body without a length and ends the connection. */
  unframed: 'unframed',
  /** Sends a second answer after the first. */
  extra: 'extra',
  /** Stops within the head of the answer, after `cutHeadBytes`, and closes the connection. */
  cutHead: 'cut-head',
  /** Sends a complete answer in which the name of one header contains a space. */
  malformedHeader: 'malformed-header',
  error: 'error',
  /** Answers before it has read the body of a request, keeps the connection and reads on later. */
  earlyAnswer: 'early-answer',
  /** Bytes without end that are no answer, until the connection is closed. */
  endlessGarbage: 'endless-garbage',
  /** An answer whose headers do not end. */
  endlessHeaders: 'endless-headers',
  /** Interim answers without end, and no final one. */
  endlessInterim: 'endless-interim',
  /** An answer without a length whose body does not end. */
  endlessBody: 'endless-body',
  /** A server error in chunks that do not end. */
  endlessError: 'endless-error',
  /** An answer without a length that stops in the middle of its body. */
  stalledBody: 'stalled-body',
  /** An answer in chunks that do not end. */
  endlessChunks: 'endless-chunks',
  /** A rejection with the proof that the request did not run, whose body does not end. */
  endlessRejection: 'endless-rejection',
  /** A complete answer, and then bytes without end. */
  endlessRest: 'endless-rest',
} as const;

export type BackendFault = (typeof BackendFault)[keyof typeof BackendFault];

const repeatedRejectionStatuses: Partial<Readonly<Record<BackendFault, string>>> = {
  [BackendFault.repeatedRefusal]: '503 Service Unavailable',
  [BackendFault.repeatedMisdirection]: '421 Misdirected Request',
};
const readOnAfterMilliseconds = 100;
const linesInOneWrite = 500;
/** More than is held back until an answer is complete. */
const stalledBodyBytes = 256 * 1024;
/** About 5 MB a second; a reader in the same process keeps up and sees how its connection ends. */
const pauseMilliseconds = 1;

/** Stand-in for a backend server of the platform. Records every request that it ran. */
export class StandInPlatformBackend implements AsyncDisposable {
  readonly id: string;

  fault: BackendFault = BackendFault.none;

  workMilliseconds = 5;

  /** How much of a head is sent under the fault `cutHead`, in bytes. */
  cutHeadBytes = 0;

  /** Ids of the requests that ran, in order. */
  readonly ran: string[] = [];

  /** Headers of the requests that came. */
  readonly headers: IncomingMessage['headers'][] = [];

  connections = 0;

  openConnections = 0;

  /** Bodies of the requests that were answered early, as far as they came, by request id. */
  readonly lateBodies = new Map<string, Buffer>();

  /** Bytes that were sent under the faults without end. */
  endlessBytes = 0;

  /** Connections that are open and on which bytes without end are sent. */
  endlessConnections = 0;

  /** The rejection that was written on a connection, for the faults that repeat it. */
  readonly #rejections = new WeakMap<Socket, string>();

  #running = 0;

  #server: Server | undefined;

  constructor(id: string) {
    this.id = id;
  }

  get port(): number {
    if (this.#server === undefined) throw new Error('the stand-in backend is not started');
    return Number(new URL(urlOf(this.#server)).port);
  }

  get running(): number {
    return this.#running;
  }

  async start(): Promise<void> {
    this.#server = await listenHttp((request, response) => this.#handle(request, response));
    this.#server.on('connection', (socket) => {
      this.connections += 1;
      this.openConnections += 1;
      socket.once('close', () => {
        this.openConnections -= 1;
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#server !== undefined) await closeHttp(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = String(request.headers['request-id'] ?? '');
    this.headers.push(request.headers);
    if (this.fault === BackendFault.earlyAnswer) {
      this.#answerEarly(requestId, request, response);
      return;
    }
    const body = await buffer(request);
    if (request.headers['target-instance'] !== this.id) {
      response.writeHead(421, { 'instance-id': this.id, 'request-id': requestId }).end();
      return;
    }
    if (this.#repeatsRejection(request.socket, requestId)) return;
    if (this.fault === BackendFault.shed) {
      response.writeHead(503, { 'not-executed': '1', 'request-id': requestId }).end();
      return;
    }
    this.#running += 1;
    this.ran.push(requestId);
    await sleep(this.workMilliseconds);
    this.#running -= 1;
    this.#answer(requestId, body, response);
  }

  #answerEarly(requestId: string, request: IncomingMessage, response: ServerResponse): void {
    this.ran.push(requestId);
    this.lateBodies.set(requestId, Buffer.alloc(0));
    request.on('data', (chunk: Buffer) => {
      const earlier = this.lateBodies.get(requestId) ?? Buffer.alloc(0);
      this.lateBodies.set(requestId, Buffer.concat([earlier, chunk]));
    });
    request.pause();
    setTimeout(() => request.resume(), readOnAfterMilliseconds);
    const text = `answer to ${requestId} `;
    response.writeHead(200, {
      'request-id': requestId,
      'response-signature': 'signed',
      'content-length': text.length,
    });
    response.end(text);
  }

  /** Rejects the first request of a connection; for later ones only writes that rejection again. */
  #repeatsRejection(socket: Socket, requestId: string): boolean {
    const status = repeatedRejectionStatuses[this.fault];
    if (status === undefined) return false;
    const earlier = this.#rejections.get(socket);
    const rejection =
      earlier ??
      `HTTP/1.1 ${status}\r\nRequest-Id: ${requestId}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
    this.#rejections.set(socket, rejection);
    socket.write(rejection);
    return earlier === undefined;
  }

  #answer(requestId: string, body: Buffer, response: ServerResponse): void {
    const text = `answer to ${requestId} ${body.toString('utf8')}`;
    const headers: Record<string, string> = {
      'request-id': this.fault === BackendFault.wrongId ? 'another' : requestId,
      'response-signature': 'signed',
      'server-load': `${this.#running},0,4,100`,
    };
    const { socket } = response;
    switch (this.fault) {
      case BackendFault.loseAnswer:
        response.destroy();
        return;
      case BackendFault.truncate:
        response.writeHead(200, { ...headers, 'content-length': text.length });
        response.write(text.slice(0, text.length / 2), () => socket?.resetAndDestroy());
        return;
      case BackendFault.unframed:
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
        response.writeHead(200, headers);
        response.end(text);
        return;
      case BackendFault.error:
        response.writeHead(500, headers);
        response.end('failed');
        return;
      case BackendFault.extra:
        response.writeHead(200, { ...headers, 'content-length': text.length });
        response.end(text);
        socket?.write('HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 1\r\n\r\nx');
        return;
      case BackendFault.cutHead:
        socket?.end(createHead(headers, text.length).slice(0, this.cutHeadBytes));
        return;
      case BackendFault.malformedHeader:
        socket?.write(`${createHead({ ...headers, 'server load': '1' }, text.length)}${text}`);
        return;
      case BackendFault.stalledBody:
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
        response.writeHead(200, headers);
        response.write(Buffer.alloc(stalledBodyBytes));
        return;
      case BackendFault.none:
        response.writeHead(200, { ...headers, 'content-length': text.length });
        response.end(text);
        return;
      default:
        if (socket !== null) this.#sendEndlessly(socket, endlessBytesOf(this.fault, headers, text));
    }
  }

  /** Sends until the connection is closed. */
  #sendEndlessly(socket: Socket, { first, repeated }: EndlessBytes): void {
    const send = () => {
      if (socket.destroyed) return;
      this.endlessBytes += repeated.length;
      socket.write(repeated, () => setTimeout(send, pauseMilliseconds));
    };
    this.endlessConnections += 1;
    socket.once('close', () => {
      this.endlessConnections -= 1;
    });
    socket.write(first, send);
  }
}

/** Head of an answer, for faults that Node.js does not send. */
function createHead(headers: Readonly<Record<string, string>>, length: number): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 200 OK\r\n${lines.join('')}content-length: ${length}\r\n\r\n`;
}

interface EndlessBytes {
  readonly first: string;
  readonly repeated: string;
}

function endlessBytesOf(
  fault: BackendFault,
  headers: Readonly<Record<string, string>>,
  text: string,
): EndlessBytes {
  const head = (status: string, further: readonly string[] = []) =>
    [
      `HTTP/1.1 ${status}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      ...further,
    ].join('\r\n');
  const repeated = (line: string) => line.repeat(linesInOneWrite);
  switch (fault) {
    case BackendFault.endlessHeaders:
      return { first: `${head('200 OK')}\r\n`, repeated: repeated('x-more: bytes\r\n') };
    case BackendFault.endlessInterim:
      return { first: '', repeated: repeated('HTTP/1.1 102 Processing\r\n\r\n') };
    case BackendFault.endlessBody:
      return { first: `${head('200 OK')}\r\n\r\n`, repeated: repeated('more bytes') };
    case BackendFault.endlessChunks:
      return {
        first: `${head('200 OK', ['transfer-encoding: chunked'])}\r\n\r\n`,
        repeated: repeated('a\r\nmore bytes\r\n'),
      };
    case BackendFault.endlessError:
      return {
        first: `${head('500 Failed', ['transfer-encoding: chunked'])}\r\n\r\n`,
        repeated: repeated('a\r\nmore bytes\r\n'),
      };
    case BackendFault.endlessRejection:
      return {
        first: `${head('503 Busy', ['not-executed: 1'])}\r\n\r\n`,
        repeated: repeated('more bytes'),
      };
    case BackendFault.endlessRest:
      return {
        first: `${head('200 OK', [`content-length: ${text.length}`])}\r\n\r\n${text}`,
        repeated: repeated('more bytes'),
      };
    default:
      return { first: '', repeated: repeated('no answer ') };
  }
}
