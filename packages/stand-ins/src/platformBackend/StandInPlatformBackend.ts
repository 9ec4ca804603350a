import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';

import { closeHttp, listenHttp, urlOf } from '../httpListener.js';

/** How the next requests are answered. */
export const BackendFault = {
  none: 'none',
  /** 503 with the proof that the request did not run. */
  shed: 'shed',
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
  error: 'error',
} as const;

export type BackendFault = (typeof BackendFault)[keyof typeof BackendFault];

/** Stand-in for a backend server of the platform. Records every request that it ran. */
export class StandInPlatformBackend implements AsyncDisposable {
  readonly id: string;

  fault: BackendFault = BackendFault.none;

  workMilliseconds = 5;

  /** Ids of the requests that ran, in order. */
  readonly ran: string[] = [];

  /** Headers of the requests that came. */
  readonly headers: IncomingMessage['headers'][] = [];

  connections = 0;

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
    this.#server.on('connection', () => {
      this.connections += 1;
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#server !== undefined) await closeHttp(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = String(request.headers['request-id'] ?? '');
    this.headers.push(request.headers);
    const body = await buffer(request);
    if (request.headers['target-instance'] !== this.id) {
      response.writeHead(421, { 'instance-id': this.id }).end();
      return;
    }
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
      default:
        response.writeHead(200, { ...headers, 'content-length': text.length });
        response.end(text);
    }
  }
}
