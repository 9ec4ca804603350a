import { systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { BackendServerExchange, type ExchangeOutcome } from '../backend/BackendServerExchange.js';
import { ConnectionAgent } from '../backend/ConnectionAgent.js';
import { host } from './fleet.js';

const limitMilliseconds = 300;
const common = 'request-id: x\r\nresponse-signature: signed\r\n';

/** Sends a request to a server that answers with the given parts, 5 ms apart, and then closes. */
async function exchangeWith(parts: readonly string[], method = 'GET'): Promise<ExchangeOutcome> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', async () => {
      for (const part of parts) {
        socket.write(part);
        await sleep(5);
      }
      socket.end();
    });
  });
  server.listen(0, host);
  await once(server, 'listening');
  const agent = new ConnectionAgent(1);
  const exchange = new BackendServerExchange({
    agent,
    host,
    port: (server.address() as AddressInfo).port,
    head: {
      requestId: 'x',
      service: 'desk',
      backendServerId: 'b',
      incarnation: 0,
      kind: 'reads',
      idempotent: true,
      weight: 1,
      method,
      target: '/',
      headers: ['host', 'a.example', 'request-id', 'x'],
      deadline: systemClock.now() + limitMilliseconds,
      depth: 0,
      attempts: 1,
    },
    body: { type: 'none' },
    clock: systemClock,
    onLoad: () => {},
    onEnd: () => {},
  });
  const timer = setTimeout(() => exchange.cancel('deadline'), limitMilliseconds);
  const outcome = await exchange.outcome;
  clearTimeout(timer);
  agent.destroy();
  server.close();
  return outcome;
}

const headWith = (status: string, fields: string) =>
  `HTTP/1.1 ${status} Answer\r\n${common}${fields}\r\n`;

describe('an answer with a malformed status', () => {
  for (const status of ['000', '099', '600', '999', '1000', '20', '100', '102', '150', '199']) {
    it(`guards against ${status} that is taken for an answer`, async () => {
      const head = headWith(status, 'content-length: 5\r\n');
      assert.equal((await exchangeWith([`${head}hello`])).type, 'lost', 'in one part');
      assert.equal((await exchangeWith([head, 'hello'])).type, 'lost', 'in two parts');
    });
  }

  it('guards against 101 without a request to upgrade', async () => {
    for (const fields of ['', 'connection: upgrade\r\nupgrade: websocket\r\n']) {
      const next = headWith('200', 'content-length: 5\r\n');
      const outcome = await exchangeWith([`${headWith('101', fields)}${next}hello`]);
      assert.equal(outcome.type, 'lost', fields);
    }
  });

  it('guards against a malformed answer that says that the request has not run', async () => {
    for (const status of ['000', '600', '204']) {
      const fields = 'not-executed: 1\r\ncontent-length: 5\r\n';
      const outcome = await exchangeWith([`${headWith(status, fields)}hello`]);
      assert.equal(outcome.type, 'lost', status);
    }
  });

  for (const status of ['204', '304']) {
    for (const fields of ['content-length: 5\r\n', 'transfer-encoding: chunked\r\n', '']) {
      const body = fields.startsWith('transfer') ? '5\r\nhello\r\n0\r\n\r\n' : 'hello';
      it(`guards against ${status} with a body, declared by "${fields.trim()}"`, async () => {
        const head = headWith(status, fields);
        assert.equal((await exchangeWith([`${head}${body}`])).type, 'lost', 'in one part');
        // Without a declared length, nothing tells that more bytes will come.
        if (fields === '') return;
        assert.equal((await exchangeWith([head, body])).type, 'lost', 'in two parts');
      });
    }

    it(`guards against ${status} without a body that is lost`, async () => {
      const outcome = await exchangeWith([headWith(status, '')]);
      assert.equal(outcome.type === 'answered' && outcome.head.status, Number(status));
    });
  }

  it('guards against 304 with the length of the unchanged body that is lost', async () => {
    for (const method of ['GET', 'HEAD']) {
      const outcome = await exchangeWith([headWith('304', 'content-length: 5\r\n')], method);
      assert.equal(outcome.type === 'answered' && outcome.head.status, 304);
    }
  });

  it('guards against an interim answer that hides the final one', async () => {
    const final = headWith('200', 'content-length: 5\r\n');
    const outcome = await exchangeWith([headWith('103', ''), `${final}hello`]);
    assert.equal(outcome.type === 'answered' && outcome.head.status, 200);
  });
});
