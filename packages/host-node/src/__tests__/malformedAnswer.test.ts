import { BackendFault } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sendRequest, startFleet } from './fleet.js';

/** Timeout of the routes. */
const routeTimeoutMilliseconds = 1000;

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
