import { BackendFault } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sendReport, sendRequest, startFleet } from './fleet.js';

/** Timeout of the routes. */
const routeTimeoutMilliseconds = 1000;
/** Length of the head that the stand-in cuts off. */
const headBytes = 109;

// The HTTP parser of Node.js accepts a space in the name of an answer's header, and its HTTP server
// refuses to send such a name. These tests guard against requests that stay open because of that.
describe('an answer with a malformed header', () => {
  it('guards against a request that is never answered', async (t) => {
    const { members } = await startFleet(t, ['one']);
    const [one] = members;
    assert.ok(one !== undefined);
    const { port } = one.settings.listeners.callers;
    one.backend.fault = BackendFault.malformedHeader;
    const signal = AbortSignal.timeout(routeTimeoutMilliseconds);
    const order = { method: 'POST', path: '/orders/1', id: 'x', signal };
    assert.equal((await sendRequest(port, order)).status, 502);
    assert.deepEqual(one.backend.ran, ['x']);
    one.backend.fault = BackendFault.none;
    const next = await sendRequest(port, { path: '/reads/2', id: 'y' });
    assert.equal(next.text, 'answer to y ');
  });

  it('guards against an idempotent request that fails while another host is sound', async (t) => {
    const { members } = await startFleet(t, ['one', 'two']);
    const [one] = members;
    assert.ok(one !== undefined);
    const { port } = one.settings.listeners.callers;
    one.backend.fault = BackendFault.malformedHeader;
    for (let number = 0; number < 6; number += 1) {
      const signal = AbortSignal.timeout(routeTimeoutMilliseconds);
      const read = await sendRequest(port, { path: `/reads/${number}`, id: `r${number}`, signal });
      assert.equal(read.status, 200);
    }
    assert.ok(one.backend.ran.length > 0, 'no request reached the faulty backend server');
  });
});

// A backend server may stop in the middle of the head of its answer and close the connection. These
// tests guard against a 200 for such an answer, and against a second run of the request.
describe('an answer whose head is cut off', () => {
  for (const names of [['one'], ['one', 'two']]) {
    it(`guards against an empty or short body that looks whole, over ${names.length} nodes`, async (t) => {
      const { members } = await startFleet(t, names);
      const [one] = members;
      const last = members.at(-1);
      assert.ok(one !== undefined && last !== undefined);
      // The request has to run at the last host.
      if (last !== one) await sendReport(one, { state: 'draining' });
      const { port } = one.settings.listeners.callers;
      last.backend.fault = BackendFault.cutHead;
      const ids: string[] = [];
      for (let bytes = 0; bytes < headBytes; bytes += 1) {
        const id = `x${100 + bytes}`;
        ids.push(id);
        last.backend.cutHeadBytes = bytes;
        const order = { method: 'POST', path: `/orders/${bytes}`, id };
        assert.equal((await sendRequest(port, order)).status, 502, `cut after ${bytes} bytes`);
      }
      assert.deepEqual(last.backend.ran, ids);
    });
  }
});
