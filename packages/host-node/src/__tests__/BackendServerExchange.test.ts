import { LossCause, StreamedBody } from '@hickorybridge/peer-protocol';
import { systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { PassThrough, type Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { BackendServerExchange, type ExchangeOptions } from '../backend/BackendServerExchange.js';
import { ConnectionAgent } from '../backend/ConnectionAgent.js';
import { host } from './fleet.js';

/** The HTTP parser reads this in two parts; the second stays in the buffer of an unread answer. */
const bodyBytes = 100_000;
const headers = { 'request-id': 'x', 'response-signature': 'signed' };

/** Starts an exchange with a server that answers as `answer` says. */
async function startExchange(
  t: TestContext,
  answer: (request: IncomingMessage, response: ServerResponse) => void,
  body: ExchangeOptions['body'] = { type: 'none' },
  {
    agent = new ConnectionAgent(1),
    onEnd = () => {},
    onLoad = () => {},
  }: Partial<ExchangeOptions> = {},
  method = 'POST',
) {
  const server = createServer(answer);
  server.listen(0, host);
  await once(server, 'listening');
  t.after(() => {
    agent.destroy();
    server.closeAllConnections();
    server.close();
  });
  return new BackendServerExchange({
    agent,
    host,
    port: (server.address() as AddressInfo).port,
    head: {
      requestId: 'x',
      service: 'desk',
      backendServerId: 'b',
      incarnation: 0,
      kind: 'orders',
      idempotent: false,
      weight: 1,
      method,
      target: '/orders/1',
      headers: ['host', 'a.example'],
      deadline: systemClock.now() + 2000,
      depth: 0,
      attempts: 1,
    },
    body,
    clock: systemClock,
    onLoad,
    onEnd,
  });
}

async function streamOf(exchange: BackendServerExchange): Promise<Readable> {
  const outcome = await exchange.outcome;
  assert.ok(outcome.type === 'answered' && outcome.body.type === 'stream');
  return outcome.body.stream;
}

function answerWithLength(_request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, { ...headers, 'content-length': bodyBytes });
  response.end(Buffer.alloc(bodyBytes));
}

describe('BackendServerExchange', () => {
  it('late connection: guards against a deadline from before the wait for the connection', async (t) => {
    const waitMilliseconds = 700;
    const agent = new ConnectionAgent(1);
    const deadlines: { readonly sent: number; readonly left: number }[] = [];
    const startedAt = systemClock.now();
    const answer = (request: IncomingMessage, response: ServerResponse) => {
      const left = startedAt + 2000 - systemClock.now();
      deadlines.push({ sent: Number(request.headers['deadline-ms']), left });
      response.writeHead(200, { ...headers, 'content-length': 0 }).end();
    };
    const { createConnection } = agent;
    agent.createConnection = (...parameters) => {
      const socket = createConnection.apply(agent, parameters) as Socket;
      // Like an opening packet that was dropped and is sent again.
      const emit = socket.emit.bind(socket) as (...all: unknown[]) => boolean;
      socket.emit = (event: string | symbol, ...values: unknown[]) => {
        if (event !== 'connect') return emit(event, ...values);
        setTimeout(() => emit(event, ...values), waitMilliseconds);
        return true;
      };
      return socket;
    };
    const exchange = await startExchange(t, answer, { type: 'none' }, { agent });
    const outcome = await exchange.outcome;
    for (const { left, sent } of deadlines) assert.ok(sent < left + 500, `${sent} of ${left} ms`);
    assert.ok(outcome.type === 'answered' || outcome.type === 'not-run');
  });

  // Node.js drops what an answer has buffered when its request is destroyed, and still marks the answer
  // as complete if its last byte had been parsed.
  it('guards against an answer that lacks its end and looks complete, after a cancellation', async (t) => {
    const exchange = await startExchange(t, answerWithLength);
    const stream = await streamOf(exchange);
    await sleep(50);
    exchange.cancel(LossCause.deadline);
    await assert.rejects(buffer(stream), /the answer broke off/);
  });

  it('guards against an answer that lacks its end and looks complete, after a broken upload', async (t) => {
    const upload = new PassThrough();
    const body = { type: 'stream', source: new StreamedBody(upload) } as const;
    const exchange = await startExchange(t, answerWithLength, body);
    upload.write('the first part');
    const stream = await streamOf(exchange);
    await sleep(50);
    upload.destroy(new Error('the caller broke off the body'));
    await assert.rejects(buffer(stream), /the answer broke off/);
  });

  it('guards against a complete answer that is not passed on to a slow reader', async (t) => {
    const exchange = await startExchange(t, answerWithLength);
    const stream = await streamOf(exchange);
    await sleep(50);
    assert.equal((await buffer(stream)).length, bodyBytes);
  });

  it('guards against a slot that an answer holds until its deadline although nobody wants it', async (t) => {
    let ends = 0;
    const onEnd = () => {
      ends += 1;
    };
    const exchange = await startExchange(t, answerWithLength, { type: 'none' }, { onEnd });
    const stream = await streamOf(exchange);
    await sleep(50);
    stream.destroy();
    await sleep(50);
    assert.equal(ends, 1);
  });

  it('guards against a fault in handling an answer that ends the process', async (t) => {
    const answer = (_request: IncomingMessage, response: ServerResponse) => {
      response.writeHead(200, { ...headers, 'server-load': '1,0,4,100' });
      response.end('done');
    };
    const onLoad = () => {
      throw new Error('a fault');
    };
    const exchange = await startExchange(t, answer, { type: 'none' }, { onLoad });
    const outcome = await exchange.outcome;
    assert.equal(outcome.type, 'lost');
  });

  it('guards against an answer to HEAD without a length that lasts as long as its connection', async (t) => {
    const answer = (_request: IncomingMessage, response: ServerResponse) => {
      response.writeHead(200, headers).end();
    };
    const startedAt = systemClock.now();
    const exchange = await startExchange(t, answer, { type: 'none' }, {}, 'HEAD');
    const outcome = await exchange.outcome;
    assert.ok(systemClock.now() - startedAt < 1000);
    assert.ok(outcome.type === 'answered' && outcome.body.type === 'whole');
    assert.equal(outcome.body.data.length, 0);
    assert.equal(outcome.head.endsWithConnection, undefined);
  });

  it('guards against the length of a body that does not follow', async (t) => {
    const exchange = await startExchange(t, answerWithLength, { type: 'none' }, {}, 'HEAD');
    const outcome = await exchange.outcome;
    assert.ok(outcome.type === 'answered' && outcome.body.type === 'whole');
    assert.equal(outcome.body.data.length, 0);
    assert.equal(outcome.head.contentLength, bodyBytes);
  });

  // libuv takes about one reset in ten for a normal end, so one exchange would show nothing.
  it('guards against an answer without a length that looks complete after a reset', async (t) => {
    const resetAfterAnswer = (_request: IncomingMessage, response: ServerResponse) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, headers);
      response.write('the first part', () => {
        setTimeout(() => response.socket?.resetAndDestroy(), 1);
      });
    };
    const outcomes: string[] = [];
    for (let round = 0; round < 100; round += 1) {
      const exchange = await startExchange(t, resetAfterAnswer);
      outcomes.push((await exchange.outcome).type);
    }
    assert.equal(outcomes.filter((type) => type !== 'lost').length, 0);
  });

  it('guards against an answer without a length that is taken for a broken one', async (t) => {
    const closeAfterAnswer = (_request: IncomingMessage, response: ServerResponse) => {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      response.writeHead(200, headers);
      response.end('the whole answer');
    };
    for (let round = 0; round < 100; round += 1) {
      const exchange = await startExchange(t, closeAfterAnswer);
      const outcome = await exchange.outcome;
      assert.ok(outcome.type === 'answered' && outcome.body.type === 'whole');
      assert.equal(outcome.body.data.toString(), 'the whole answer');
    }
  });
});
