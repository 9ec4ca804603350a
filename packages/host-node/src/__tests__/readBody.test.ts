import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { readBody } from '../callers/readBody.js';
import { host } from './fleet.js';

const limits = { maxBytes: 500_000, maxBufferedBytes: 32 * 1024 };

/** Sends a part of an upload, leaves, and returns the body that nobody has read. */
async function leaveDuringUpload(t: TestContext, framing: string) {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const received = once(server, 'request');
  const socket = connect((server.address() as AddressInfo).port, host);
  socket.write(`POST /orders/1 HTTP/1.1\r\nhost: a.example\r\n${framing}\r\n\r\n`);
  socket.write(framing.startsWith('content-length') ? Buffer.alloc(40_000) : createChunk(40_000));
  const [request] = await received;
  const body = await readBody(request, limits);
  socket.destroy();
  // An uncaught error fails the test.
  await sleep(50);
  return body;
}

function createChunk(bytes: number): Buffer {
  return Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), Buffer.alloc(bytes)]);
}

for (const framing of ['content-length: 200000', 'transfer-encoding: chunked']) {
  it(`guards against a caller that leaves during an upload (${framing}) and ends the process`, async (t) => {
    const body = await leaveDuringUpload(t, framing);
    assert.ok(typeof body === 'object' && body.type === 'stream');
    assert.equal(body.source.take(), undefined);
  });
}
