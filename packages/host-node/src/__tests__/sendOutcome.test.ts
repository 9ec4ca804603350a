import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, get, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { PassThrough } from 'node:stream';
import { buffer } from 'node:stream/consumers';
import { it } from 'node:test';

import { sendOutcome } from '../callers/sendOutcome.js';

it('guards against an answer that hangs or looks complete because its body failed before it was read', async (t) => {
  const server = createServer(async (request, response) => {
    const stream = new PassThrough();
    stream.once('error', () => {});
    stream.destroy(new Error('the connection with the node was lost'));
    await new Promise((resolve) => {
      stream.once('close', resolve);
    });
    const head = { status: 200, headers: ['content-type', 'text/plain'] };
    sendOutcome(request, response, { type: 'answered', head, body: { type: 'stream', stream } });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const request = get({ host: '127.0.0.1', port, timeout: 2000 });
  request.once('timeout', () => request.destroy(new Error('the answer hangs')));
  const received = once(request, 'response').then(([response]) =>
    buffer(response as IncomingMessage),
  );
  await assert.rejects(received, /ECONNRESET|aborted|socket hang up/);
});
