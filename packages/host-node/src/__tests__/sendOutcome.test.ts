import type { AnswerHead } from '@hickorybridge/types';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, get, type IncomingMessage } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { PassThrough } from 'node:stream';
import { buffer } from 'node:stream/consumers';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { sendOutcome } from '../callers/sendOutcome.js';
import type { CallerOutcome } from '../routing/CallerRequest.js';

type Answer = Extract<CallerOutcome, { type: 'answered' }>;

const noBody = Buffer.alloc(0);

/** Starts a server that answers each request with an outcome. Returns its port. */
async function startServer(
  t: TestContext,
  createOutcome: () => Answer | Promise<Answer>,
): Promise<number> {
  const server = createServer(async (request, response) => {
    sendOutcome(request, response, await createOutcome());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

function whole(head: AnswerHead, data = noBody): Answer {
  return { type: 'answered', head, body: { type: 'whole', data } };
}

/** Sends a request without a body; returns all bytes of the answer, and whether it was reset. */
async function sendRaw(port: number, requestLine: string) {
  const socket = connect(port, '127.0.0.1');
  socket.write(`${requestLine}\r\nHost: a.example\r\nConnection: close\r\n\r\n`);
  const chunks: Buffer[] = [];
  let wasReset = false;
  socket.on('data', (chunk) => chunks.push(chunk));
  socket.on('error', () => {
    wasReset = true;
  });
  // A reset that libuv polls with the last bytes shows only in the missing address.
  socket.once('end', () => {
    wasReset ||= socket.remoteAddress === undefined;
  });
  await once(socket, 'close').catch(() => {});
  const [head = '', ...rest] = Buffer.concat(chunks).toString('latin1').split('\r\n\r\n');
  return { head: head.toLowerCase(), body: rest.join('\r\n\r\n'), wasReset };
}

describe('sendOutcome', () => {
  it('guards against an answer that hangs or looks complete because its body failed before it was read', async (t) => {
    const port = await startServer(t, async () => {
      const stream = new PassThrough();
      stream.once('error', () => {});
      stream.destroy(new Error('the connection with the node was lost'));
      await new Promise((resolve) => {
        stream.once('close', resolve);
      });
      const head = { status: 200, headers: ['content-type', 'text/plain'] };
      return { type: 'answered', head, body: { type: 'stream', stream } };
    });
    const request = get({ host: '127.0.0.1', port, timeout: 2000 });
    request.once('timeout', () => request.destroy(new Error('the answer hangs')));
    const received = once(request, 'response').then(([response]) =>
      buffer(response as IncomingMessage),
    );
    await assert.rejects(received, /ECONNRESET|aborted|socket hang up/);
  });

  const endsWithConnection = { status: 200, headers: [], endsWithConnection: true };
  const data = Buffer.from('the whole answer');

  it('guards against a cut answer without a length that an HTTP/1.1 caller takes for a whole one', async (t) => {
    const port = await startServer(t, () => whole(endsWithConnection, data));
    const { body, head } = await sendRaw(port, 'GET / HTTP/1.1');
    assert.match(head, /transfer-encoding: chunked/);
    assert.doesNotMatch(head, /content-length/);
    assert.equal(body, '10\r\nthe whole answer\r\n0\r\n\r\n');
  });

  it('guards against chunks or a length for an HTTP/1.0 caller of an answer without a length', async (t) => {
    const port = await startServer(t, () => whole(endsWithConnection, data));
    const { body, head, wasReset } = await sendRaw(port, 'GET / HTTP/1.0');
    assert.doesNotMatch(head, /transfer-encoding|content-length/);
    assert.match(head, /connection: close/);
    assert.equal(body, data.toString());
    assert.equal(wasReset, false);
  });

  for (const version of ['1.0', '1.1']) {
    it(`guards against the normal end of a cut answer without a length for an HTTP/${version} caller`, async (t) => {
      const port = await startServer(t, () => {
        const stream = new PassThrough();
        stream.write(data);
        sleep(50).then(() => stream.destroy(new Error('the answer broke off')));
        return { type: 'answered', head: endsWithConnection, body: { type: 'stream', stream } };
      });
      const { body, head, wasReset } = await sendRaw(port, `GET / HTTP/${version}`);
      assert.equal(/transfer-encoding: chunked/.test(head), version === '1.1');
      assert.match(body, /the whole answer/);
      assert.doesNotMatch(body, /\r\n0\r\n\r\n$/);
      assert.equal(wasReset, true);
    });
  }

  for (const status of [200, 204, 304]) {
    it(`guards against a body or a made-up length in an answer with the status ${status} to HEAD`, async (t) => {
      const port = await startServer(t, () => whole({ status, headers: ['etag', '"1"'] }));
      const { body, head } = await sendRaw(port, 'HEAD / HTTP/1.1');
      assert.match(head, /etag: "1"/);
      assert.doesNotMatch(head, /transfer-encoding|content-length/);
      assert.equal(body, '');
    });
  }

  for (const status of [204, 304]) {
    it(`guards against a body or a length in an answer with the status ${status}`, async (t) => {
      const port = await startServer(t, () => whole({ status, headers: ['etag', '"1"'] }));
      const { body, head } = await sendRaw(port, 'GET / HTTP/1.1');
      assert.doesNotMatch(head, /transfer-encoding|content-length/);
      assert.equal(body, '');
    });
  }

  // Node.js sends any status from 100 to 999, and a node of an older version may pass one on.
  for (const status of [0, 99, 100, 101, 199, 600, 999]) {
    it(`guards against the status ${status} that reaches a caller`, async (t) => {
      const bytes = Buffer.from('the whole answer');
      const port = await startServer(t, () => whole({ status, headers: [] }, bytes));
      const { body, head } = await sendRaw(port, 'GET / HTTP/1.1');
      assert.match(head, /^http\/1\.1 502 /);
      assert.doesNotMatch(body, /the whole answer/);
    });
  }
});
