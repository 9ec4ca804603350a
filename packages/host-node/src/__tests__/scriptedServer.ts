import { once } from 'node:events';
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { host } from './fleet.js';

/** How the length of an answer's body is told. */
export const Framing = { length: 'length', chunked: 'chunked', none: 'none' } as const;

export type Framing = (typeof Framing)[keyof typeof Framing];

/** What a server does after the last byte that it sends of an answer. */
export const Ending = { keep: 'keep', close: 'close', reset: 'reset', stall: 'stall' } as const;

export type Ending = (typeof Ending)[keyof typeof Ending];

/** One answer, with all that may go wrong with it. */
export interface AnswerScript {
  readonly status: number;
  readonly framing: Framing;
  readonly bodyBytes: number;
  readonly header: 'none' | 'not-executed' | 'malformed' | 'other-id';
  /** The answer is sent in pieces of this size, in bytes. */
  readonly pieceBytes: number;
  /** Share of the answer that is sent; 1 for a complete one. */
  readonly sentShare: number;
  readonly ending: Ending;
  /** Whether the answer is sent before the body of the request was read. */
  readonly early: boolean;
}

/** A request as the server received it. */
export interface ReceivedRequest {
  body: Buffer;
  /** Whether its body ended properly. */
  complete: boolean;
}

const pieceDelayMilliseconds = 1;

/** The body of a script: bytes of which each part differs from the others. */
export function createBody(bytes: number): Buffer {
  const body = Buffer.alloc(bytes);
  for (let offset = 0; offset + 4 <= bytes; offset += 4) body.writeUInt32BE(offset, offset);
  return body;
}

/** A server that answers each request by a script, byte by byte. */
export class ScriptedServer implements AsyncDisposable {
  readonly received: ReceivedRequest[] = [];

  readonly #server = createServer((request) => this.#handle(request));

  readonly #sockets = new Set<Socket>();

  readonly #script: AnswerScript;

  constructor(script: AnswerScript) {
    this.#script = script;
    this.#server.on('clientError', (_error, socket) => socket.destroy());
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get connections(): number {
    return this.#sockets.size;
  }

  async start(): Promise<this> {
    this.#server.listen(0, host);
    await once(this.#server, 'listening');
    return this;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
    await once(this.#server, 'close');
  }

  async #handle(request: IncomingMessage): Promise<void> {
    const received: ReceivedRequest = { body: Buffer.alloc(0), complete: false };
    this.received.push(received);
    const reading = readBody(request, received);
    if (!this.#script.early) await reading;
    const id = String(request.headers['request-id']);
    await this.#send(request.socket, encodeAnswer(this.#script, id));
    await reading;
  }

  async #send(socket: Socket, answer: Buffer): Promise<void> {
    const { ending, pieceBytes, sentShare } = this.#script;
    const end = Math.floor(answer.length * sentShare);
    for (let offset = 0; offset < end && !socket.destroyed; offset += pieceBytes) {
      socket.write(answer.subarray(offset, Math.min(end, offset + pieceBytes)));
      await sleep(pieceDelayMilliseconds);
    }
    if (ending === Ending.close) socket.end();
    if (ending === Ending.reset) socket.resetAndDestroy();
  }
}

async function readBody(request: IncomingMessage, received: ReceivedRequest): Promise<void> {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('error', () => {});
  await new Promise((resolve) => {
    request.once('end', resolve);
    request.once('close', resolve);
  });
  Object.assign(received, { body: Buffer.concat(chunks), complete: request.complete });
}

/** The bytes of an answer if all of it is sent. */
export function encodeAnswer(script: AnswerScript, requestId: string): Buffer {
  const { bodyBytes, framing, header, status } = script;
  const body = createBody(bodyBytes);
  const lines = [
    `HTTP/1.1 ${String(status).padStart(3, '0')} Answer`,
    `request-id: ${header === 'other-id' ? 'another' : requestId}`,
    'response-signature: signed',
  ];
  if (header === 'not-executed') lines.push('not-executed: 1');
  if (header === 'malformed') lines.push('server load: 1');
  if (framing === Framing.length) lines.push(`content-length: ${bodyBytes}`);
  if (framing === Framing.chunked) lines.push('transfer-encoding: chunked');
  const head = Buffer.from(`${lines.join('\r\n')}\r\n\r\n`);
  if (framing !== Framing.chunked) return Buffer.concat([head, body]);
  const chunk =
    bodyBytes === 0
      ? []
      : [Buffer.from(`${bodyBytes.toString(16)}\r\n`), body, Buffer.from('\r\n')];
  return Buffer.concat([head, ...chunk, Buffer.from('0\r\n\r\n')]);
}
