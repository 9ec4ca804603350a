import { quotaBound } from '@hickorybridge/coordination';
import { StandInObjectStore } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  addressOf,
  createConfiguration,
  sendReport,
  sendRequest,
  startMember,
  waitUntil,
  type FleetMember,
} from './fleet.js';

const quota = { windowMilliseconds: 5000, overShare: 0.1, slack: 20 };
const limit = { requestsPerSecond: 1, burst: 0 };
/** Until the brokers act and their buckets are full. */
const warmUpMilliseconds = 13_000;

async function startQuotaFleet(t: TestContext) {
  const store = new StandInObjectStore();
  await store.start();
  t.after(() => store[Symbol.asyncDispose]());
  const tenants = {
    columns: ['name', 'api_keys', 'rate_per_s', 'burst'],
    rows: [
      ['small', ['key-small'], limit.requestsPerSecond, limit.burst],
      ['free', ['key-free'], 0, 0],
    ],
  };
  store.put('config', 'main', { ...createConfiguration(1), tenants });
  const members: FleetMember[] = [];
  for (const name of ['n1', 'n2', 'n3']) {
    members.push(await startMember(t, addressOf(store), name, { quota }));
  }
  for (const member of members) await sendReport(member);
  await waitUntil(() => members.every(({ node }) => node.ready && node.hostCount === 3));
  return members;
}

describe('quotas of a fleet', () => {
  it('guards against requests beyond the limit of a tenant at several nodes', async (t) => {
    const members = await startQuotaFleet(t);
    await sleep(warmUpMilliseconds);
    const send = ({ settings }: FleetMember, key: string) =>
      sendRequest(settings.listeners.callers.port, {
        path: '/reads/1',
        headers: { authorization: `Bearer ${key}` },
      });
    const first = members[0];
    assert.ok(first !== undefined);
    assert.equal((await send(first, 'key-small')).status, 200);
    // All of these arrive in one window.
    const answers = [];
    for (let round = 0; round < 30; round += 1) {
      answers.push(...(await Promise.all(members.map((member) => send(member, 'key-small')))));
    }
    const ran = answers.filter(({ status }) => status === 200).length + 1;
    const refused = answers.filter(({ status }) => status === 429);
    assert.equal(ran + refused.length, answers.length + 1);
    assert.ok(ran > 1 && ran <= quotaBound(limit, quota), `${ran} requests ran`);
    for (const { headers } of refused) assert.ok(Number(headers['retry-after']) > 0);
    for (let count = 0; count < 50; count += 1) {
      assert.equal((await send(first, 'key-free')).status, 200);
    }
    const { port } = first.settings.listeners.metrics;
    const { text } = await sendRequest(port, { path: '/metrics' });
    assert.match(text, /hickorybridge_quota_requests_total\{result="refused"\} [1-9]/);
  });
});
