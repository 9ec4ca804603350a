import { BackendFault } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sendRequest, startFleet } from './fleet.js';

/** Statuses which promise that the request has not run and will not run. */
const notRunStatuses = [408, 421, 429, 503];

// A faulty backend server may write an earlier rejection once more on a kept connection, where the
// answer to the next request is expected. These tests guard against taking it for the answer.
describe('a rejection that is written twice', () => {
  for (const fault of [BackendFault.repeatedRefusal, BackendFault.repeatedMisdirection] as const) {
    it(`guards against ${fault} that promises "not run" for a request that runs`, async (t) => {
      const { members } = await startFleet(t, ['one']);
      const [one] = members;
      assert.ok(one !== undefined);
      const { port } = one.settings.listeners.callers;
      one.backend.fault = BackendFault.repeatedRefusal;
      const first = await sendRequest(port, { method: 'POST', path: '/orders/1', id: 'first' });
      assert.equal(first.status, 503);
      one.backend.fault = fault;
      const second = await sendRequest(port, { method: 'POST', path: '/orders/2', id: 'second' });
      assert.deepEqual(one.backend.ran, ['second']);
      assert.ok(!notRunStatuses.includes(second.status), `status ${second.status}`);
    });

    it(`guards against ${fault} after which a request runs at a second host`, async (t) => {
      const { members } = await startFleet(t, ['one', 'two']);
      const [one, two] = members;
      assert.ok(one !== undefined && two !== undefined);
      const { port } = one.settings.listeners.callers;
      const sendOrders = async (prefix: string) => {
        for (let number = 0; number < 6; number += 1) {
          const id = `${prefix}${number}`;
          await sendRequest(port, { method: 'POST', path: `/orders/${id}`, id });
        }
      };
      for (const { backend } of members) backend.fault = BackendFault.repeatedRefusal;
      await sendOrders('a');
      for (const { backend } of members) backend.fault = fault;
      await sendOrders('b');
      const ran = [...one.backend.ran, ...two.backend.ran];
      assert.ok(ran.length > 0, 'no request reached a connection that was used before');
      assert.deepEqual([...new Set(ran)], ran, 'a request ran twice');
    });
  }
});
