import { BackendFault } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request, type IncomingMessage } from 'node:http';
import { text } from 'node:stream/consumers';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { host, sendReport, sendRequest, startFleet, waitUntil } from './fleet.js';

/** More than the connections that the backend server accepts. */
const uploads = 60;
const uploadsAtOnce = 4;
const restDelayMilliseconds = 100;
const maxCloseMilliseconds = 500;
const part = 'x'.repeat(100_000);

/** Sends half of an upload, and the rest after the answer or, if there is none yet, after a delay. */
async function upload(port: number, id: string): Promise<string> {
  const headers = {
    host: 'a.example',
    'request-id': id,
    'deadline-ms': '2000',
    'content-length': 2 * part.length,
  };
  const sending = request({ host, port, method: 'POST', path: '/orders/1', headers, agent: false });
  // The node may close the connection while the rest is sent.
  sending.on('error', () => {});
  sending.write(part);
  const answered = once(sending, 'response') as Promise<[IncomingMessage]>;
  await Promise.race([answered, sleep(restDelayMilliseconds)]);
  sending.end(part);
  const [answer] = await answered;
  return text(answer);
}

describe('a backend server that answers an upload before it has read it, and reads on', () => {
  for (const [where, names] of [
    ['beside the node', ['one']],
    ['beside a peer', ['one', 'two']],
  ] as const) {
    it(`guards against connections ${where} that wait for the rest of a body`, async (t) => {
      const { members } = await startFleet(t, names);
      const [one] = members;
      const last = members.at(-1);
      assert.ok(one !== undefined && last !== undefined);
      if (last !== one) await sendReport(one, { state: 'draining' });
      const { backend, node } = last;
      const { port } = one.settings.listeners.callers;
      backend.fault = BackendFault.earlyAnswer;
      const ids = Array.from({ length: uploads }, (_value, index) => `u${index}`);
      let served = 0;
      const sendNext = async (): Promise<void> => {
        const id = ids.shift();
        if (id === undefined) return;
        const answer = await upload(port, id).catch(String);
        if (answer === `answer to ${id} `) served += 1;
        await sendNext();
      };
      await Promise.all(Array.from({ length: uploadsAtOnce }, sendNext));
      t.diagnostic(`${served} of ${uploads} answered, ${backend.openConnections} connections open`);
      const endedAt = performance.now();
      await waitUntil(() => node.load?.inFlight === 0 && backend.openConnections <= uploadsAtOnce);
      assert.ok(performance.now() - endedAt < maxCloseMilliseconds, 'connections stay open');
      assert.equal(served, uploads);
      for (const [id, body] of backend.lateBodies) {
        assert.ok(`${part}${part}`.startsWith(body.toString()), `other bytes in the body of ${id}`);
      }
      backend.fault = BackendFault.none;
      const { connections } = backend;
      for (let number = 0; number < 20; number += 1) {
        assert.equal(await upload(port, `w${number}`), `answer to w${number} ${part}${part}`);
      }
      assert.ok(backend.connections <= connections + 1, 'connections are not used again');
      assert.equal((await sendRequest(port, { path: '/reads/2', id: 'y' })).status, 200);
    });
  }
});
