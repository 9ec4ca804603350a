import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';

import { isServing } from '../backend/isServing.js';
import { freePorts, host } from './fleet.js';

const path = '/healthz';

/** Asks a backend server that answers as told. */
async function ask(t: TestContext, answer: RequestListener): Promise<boolean> {
  const server = createServer(answer).listen(0, host);
  await once(server, 'listening');
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return isServing({ address: { host, port }, backendServerId: 'b1', path });
}

describe('isServing', () => {
  it('guards against a wait for reports of a backend server that says that it serves', async (t) => {
    const urls: (string | undefined)[] = [];
    const answer: RequestListener = ({ url }, response) => {
      urls.push(url);
      response.writeHead(200, { 'instance-id': 'b1' }).end('ok');
    };
    assert.equal(await ask(t, answer), true);
    assert.deepEqual(urls, [path]);
  });

  for (const [what, answer] of [
    ['that leaves', (_request, response) => response.writeHead(503, { 'instance-id': 'b1' }).end()],
    [
      'that replaced the expected one',
      (_request, response) => response.writeHead(200, { 'instance-id': 'b2' }).end(),
    ],
    ['that has no such page', (_request, response) => response.writeHead(400).end()],
    ['that does not answer', () => {}],
    ['that closes the connection', (request) => request.socket.destroy()],
  ] satisfies [string, RequestListener][]) {
    it(`guards against using a backend server ${what}`, async (t) => {
      assert.equal(await ask(t, answer), false);
    });
  }

  it('guards against using a backend server that has ended', async () => {
    const [port = 0] = await freePorts(1);
    assert.equal(await isServing({ address: { host, port }, backendServerId: 'b1', path }), false);
  });
});
