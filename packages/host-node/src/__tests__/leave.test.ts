import type { StandInObjectStore } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  sendLeave,
  sendReport,
  sendRequest,
  skipSequence,
  startFleet,
  startNode,
  waitUntil,
  type FleetMember,
} from './fleet.js';

/** A backend server takes no answer within this time for a missing one. */
const acknowledgementMilliseconds = 1000;
const graceMilliseconds = 8000;
/** Too short to do anything before the end, as with a kill. */
const noGraceMilliseconds = 400;
/** Longer than an idle node takes to stop. */
const outageMilliseconds = 3000;

function storedLeaving(store: StandInObjectStore, name: string): unknown {
  return (store.specOf('hickorybridge-hosts', name) as { leaving?: unknown } | undefined)?.leaving;
}

/** Sends the last reports from before the leave, which arrive late. */
async function sendLateReports(member: FleetMember, count = 1, born = 1): Promise<void> {
  skipSequence(-1 - count);
  for (let sent = 0; sent < count; sent += 1) await sendReport(member, {}, born);
  skipSequence(1);
}

/** Sends a few requests to each node. */
async function sendRequests(members: readonly FleetMember[]): Promise<void> {
  for (const [index, { settings }] of [...members, ...members, ...members].entries()) {
    const path = `/reads/${index}`;
    await sendRequest(settings.listeners.callers.port, { path, id: `r${index}` });
  }
}

describe('the acknowledgement of a leave', () => {
  for (const [kind, send] of [
    ['notice', sendLeave],
    ['report', (member: FleetMember) => sendReport(member, { state: 'draining' })],
  ] as const) {
    it(`guards against the ${kind} of a leave that is forgotten when its node is killed`, async (t) => {
      const { members, store } = await startFleet(t, ['one']);
      const [one] = members;
      assert.ok(one !== undefined);
      store.faults.writeMilliseconds = 200;
      assert.equal((await send(one)).status, 200);
      assert.equal(storedLeaving(store, 'one'), true, 'only the process knew of the leave');
    });
  }

  it('guards against an acknowledgement that comes too late because the store is away', async (t) => {
    const { members, store } = await startFleet(t, ['one']);
    const [one] = members;
    assert.ok(one !== undefined);
    store.faults.refuseWith = 503;
    const sentAt = performance.now();
    assert.equal((await sendLeave(one)).status, 200);
    const took = performance.now() - sentAt;
    assert.ok(took < acknowledgementMilliseconds, `acknowledged after ${took} ms`);
  });

  it('guards against a leave that a planned stop forgets while the store is away', async (t) => {
    const { members, store } = await startFleet(t, ['one', 'two'], undefined, {
      graceMilliseconds,
    });
    const [one, two] = members;
    assert.ok(one !== undefined && two !== undefined);
    store.faults.refuseWith = 503;
    setTimeout(() => {
      store.faults.refuseWith = undefined;
    }, outageMilliseconds);
    await sendLeave(one);
    await one.node.stop();
    const restarted = await startNode(t, one.settings);
    await waitUntil(() => restarted.ready && restarted.hostCount === 2);
    await sendLateReports(one);
    await sleep(500);
    await sendRequests([one, two]);
    assert.deepEqual(one.backend.ran, []);
    // Its stop would wait for the store, which is closed before it.
    await restarted.stop();
  });

  it('guards against a leave that is forgotten because the restarted node had no report', async (t) => {
    const { members, store } = await startFleet(t, ['one', 'two']);
    const [one] = members;
    assert.ok(one !== undefined);
    await one.node.stop();
    assert.equal(storedLeaving(store, 'one'), false);
    const restarted = await startNode(t, one.settings);
    await waitUntil(() => restarted.ready && restarted.hostCount === 2);
    store.faults.writeMilliseconds = 200;
    assert.equal((await sendLeave(one)).status, 200);
    assert.equal(storedLeaving(store, 'one'), true, 'only the process knew of the leave');
    await restarted.stop();
  });

  it('guards against a leave that a kill forgets while the store is away', async (t) => {
    const { members, store } = await startFleet(t, ['one', 'two', 'three'], undefined, {
      graceMilliseconds: noGraceMilliseconds,
    });
    const [one] = members;
    assert.ok(one !== undefined);
    store.faults.refuseWith = 503;
    assert.equal((await sendLeave(one)).status, 200);
    await one.node.stop();
    const restarted = await startNode(t, one.settings);
    await waitUntil(() => restarted.ready);
    store.faults.refuseWith = undefined;
    await waitUntil(() => restarted.hostCount === 3);
    await sendLateReports(one);
    await sleep(500);
    await sendRequests(members);
    assert.deepEqual(one.backend.ran, []);
    await waitUntil(() => storedLeaving(store, 'one') === true);
  });

  it('guards against a leave that a restarted node does not find because the list of hosts is stale', async (t) => {
    const { members, store } = await startFleet(t, ['one', 'two'], undefined, {
      graceMilliseconds: noGraceMilliseconds,
    });
    const [one] = members;
    assert.ok(one !== undefined);
    store.faults.staleCopy = store.copy();
    assert.equal((await sendLeave(one)).status, 200);
    await one.node.stop();
    const restarted = await startNode(t, one.settings);
    await waitUntil(() => restarted.ready && restarted.hostCount === 2);
    await sendLateReports(one, 2);
    await sleep(500);
    await sendRequests(members);
    assert.deepEqual(one.backend.ran, []);
    assert.equal(storedLeaving(store, 'one'), true);
    await restarted.stop();
  });

  it('guards against a leave that a restarted node forgets because a stale list shows an earlier one', async (t) => {
    const { members, store } = await startFleet(t, ['one', 'two'], undefined, {
      graceMilliseconds: noGraceMilliseconds,
    });
    const [one] = members;
    assert.ok(one !== undefined);
    await sendLeave(one);
    store.faults.staleCopy = store.copy();
    const born = 2000;
    await sendReport(one, {}, born);
    assert.equal((await sendLeave(one, born)).status, 200);
    await one.node.stop();
    const restarted = await startNode(t, one.settings);
    await waitUntil(() => restarted.ready && restarted.hostCount === 2);
    // The stale list is read again, after the entry itself.
    store.compact();
    await sleep(1500);
    await sendLateReports(one, 2, born);
    await sleep(500);
    assert.equal(storedLeaving(store, 'one'), true, 'the late reports count');
    await sendRequests(members);
    assert.deepEqual(one.backend.ran, []);
    await restarted.stop();
  });

  it('guards against a leave that a kill of all nodes forgets while the store is away', async (t) => {
    const { members, store } = await startFleet(t, ['one', 'two'], undefined, {
      graceMilliseconds: noGraceMilliseconds,
    });
    const [one] = members;
    assert.ok(one !== undefined);
    store.faults.refuseWith = 503;
    assert.equal((await sendLeave(one)).status, 200);
    await Promise.all(members.map(({ node }) => node.stop()));
    const nodes = await Promise.all(members.map(({ settings }) => startNode(t, settings)));
    store.faults.refuseWith = undefined;
    await waitUntil(() => nodes.every((node) => node.ready && node.hostCount === 2));
    await sendLateReports(one);
    await sleep(500);
    await sendRequests(members);
    assert.deepEqual(one.backend.ran, []);
    await Promise.all(nodes.map((node) => node.stop()));
  });
});
