import { BackendFault, StandInObjectStore } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { request } from 'node:http';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  addressOf,
  sendRequest,
  createConfiguration,
  host,
  sendReport,
  service,
  skipSequence,
  startFleet,
  startMember,
  startNode,
  waitUntil,
} from './fleet.js';

describe('HostNode', () => {
  it('guards against requests and answers that are altered when they pass through two nodes', async (t) => {
    const { members } = await startFleet(t, ['one', 'two']);
    const [one, two] = members;
    assert.ok(one !== undefined && two !== undefined);
    await sendReport(one, { state: 'draining' });
    const { port } = one.settings.listeners.callers;
    const body = 'a body';
    const answer = await sendRequest(port, {
      method: 'POST',
      path: '/orders/1?x=1',
      id: 'o1',
      body,
      headers: { 'caller-service': 'forged', 'x-other': 'kept' },
    });
    assert.equal(answer.status, 200);
    assert.equal(answer.text, 'answer to o1 a body');
    assert.equal(answer.headers['response-signature'], 'signed');
    assert.deepEqual(two.backend.ran, ['o1']);
    const [headers] = two.backend.headers;
    assert.equal(headers?.['caller-service'], service);
    assert.equal(headers?.['target-instance'], 'i-two');
    assert.equal(headers?.['x-other'], 'kept');
    assert.ok(Number(headers?.['deadline-ms']) <= 1000);
  });

  for (const [way, names] of [
    ['from the backend server beside the node', ['one']],
    ['over a peer', ['one', 'two']],
  ] as const) {
    it(`guards against a declared length of a long answer that is lost on its way ${way}`, async (t) => {
      const { members } = await startFleet(t, names);
      const [one] = members;
      const last = members.at(-1);
      assert.ok(one !== undefined && last !== undefined);
      if (last !== one) await sendReport(one, { state: 'draining' });
      const { port } = one.settings.listeners.callers;
      const body = 'x'.repeat(100_000);
      const answer = await sendRequest(port, { method: 'POST', path: '/orders/1', id: 'o', body });
      assert.deepEqual(last.backend.ran, ['o']);
      assert.equal(answer.text, `answer to o ${body}`);
      assert.equal(answer.headers['content-length'], String(answer.text.length));
      assert.equal(answer.headers['transfer-encoding'], undefined);
    });
  }

  it('guards against a wrong length in an answer to HEAD', async (t) => {
    const { members } = await startFleet(t, ['one', 'two']);
    const [one] = members;
    assert.ok(one !== undefined);
    const { port } = one.settings.listeners.callers;
    for (let number = 0; number < 4; number += 1) {
      const id = `r${number}`;
      const answer = await sendRequest(port, { method: 'HEAD', path: '/reads/1', id });
      assert.equal(answer.status, 200);
      assert.equal(answer.text, '');
      assert.equal(answer.headers['content-length'], String(`answer to ${id} `.length));
    }
  });

  it('guards against status 404 before the first configuration is known', async (t) => {
    const store = new StandInObjectStore();
    await store.start();
    t.after(() => store[Symbol.asyncDispose]());
    const member = await startMember(t, addressOf(store), 'one');
    const { callers, readiness } = member.settings.listeners;
    assert.equal((await sendRequest(callers.port, { path: '/reads/1' })).status, 503);
    assert.equal((await sendRequest(readiness.port, { path: '/v1/readyz' })).status, 503);
    store.put('config', 'main', createConfiguration(1));
    await waitUntil(() => member.node.ready);
    assert.equal((await sendRequest(callers.port, { path: '/none/1' })).status, 404);
    assert.equal((await sendRequest(readiness.port, { path: '/v1/readyz' })).status, 200);
  });

  it('guards against an older configuration that arrives after a newer one', async (t) => {
    const { members, store } = await startFleet(t, ['one']);
    const [one] = members;
    assert.ok(one !== undefined);
    store.put('config', 'main', createConfiguration(9));
    await waitUntil(() => one.node.configurationVersion === 9);
    store.put('config', 'main', createConfiguration(8));
    await sleep(300);
    assert.equal(one.node.configurationVersion, 9);
  });

  it('guards against a configuration that is missed because a watch receives no answers', async (t) => {
    const { members, store } = await startFleet(t, ['one']);
    const [one] = members;
    assert.ok(one !== undefined);
    store.faults.silentWatches = true;
    store.put('config', 'main', createConfiguration(2));
    await waitUntil(() => one.node.configurationVersion === 2);
  });

  it('guards against requests to a backend server that has announced its shutdown', async (t) => {
    const { members } = await startFleet(t, ['one']);
    const [one] = members;
    assert.ok(one !== undefined);
    const { port } = one.settings.listeners.callers;
    assert.equal((await sendRequest(port, { path: '/reads/1', id: 'a' })).status, 200);
    assert.equal((await sendReport(one, { state: 'draining' })).status, 200);
    const refused = await sendRequest(port, { path: '/reads/1', id: 'b' });
    assert.equal(refused.status, 503);
    assert.ok(Number(refused.headers['retry-after']) > 0);
    assert.deepEqual(one.backend.ran, ['a']);
    // A report from before the shutdown announcement that arrives late.
    skipSequence(-2);
    await sendReport(one);
    skipSequence(2);
    assert.equal((await sendRequest(port, { path: '/reads/1', id: 'c' })).status, 503);
    assert.deepEqual(one.backend.ran, ['a']);
  });

  it('guards against a backend server that is used again after a restart of its node', async (t) => {
    const { members, store } = await startFleet(t, ['one', 'two']);
    const [one, two] = members;
    assert.ok(one !== undefined && two !== undefined);
    await sendReport(one, { state: 'draining' });
    await one.node.stop();
    assert.notEqual(store.specOf('hickorybridge-hosts', 'one'), undefined);
    const restarted = await startNode(t, one.settings);
    await waitUntil(() => restarted.ready && restarted.hostCount === 2);
    // The last report from before the leave notice arrives late.
    skipSequence(-2);
    await sendReport(one);
    skipSequence(2);
    await sleep(500);
    for (let number = 0; number < 6; number += 1) {
      const member = number % 2 === 0 ? one : two;
      const { port } = member.settings.listeners.callers;
      const answer = await sendRequest(port, { path: `/reads/${number}`, id: `r${number}` });
      assert.equal(answer.status, 200);
    }
    assert.deepEqual(one.backend.ran, []);
  });

  it('guards against the entry of a host whose backend server is gone', async (t) => {
    const { members, store } = await startFleet(t, ['one', 'two']);
    const [one] = members;
    assert.ok(one !== undefined);
    await sendReport(one, { state: 'draining' });
    await one.backend[Symbol.asyncDispose]();
    await one.node.stop();
    assert.equal(store.specOf('hickorybridge-hosts', 'one'), undefined);
  });

  it('guards against a shutdown that aborts a running request', async (t) => {
    const { members } = await startFleet(t, ['one']);
    const [one] = members;
    assert.ok(one !== undefined);
    one.backend.workMilliseconds = 400;
    const { callers, readiness } = one.settings.listeners;
    const running = sendRequest(callers.port, { path: '/reads/1', id: 'a' });
    await sleep(100);
    const stopped = one.node.stop();
    assert.equal((await sendRequest(readiness.port, { path: '/v1/readyz' })).status, 503);
    const during = await sendRequest(callers.port, { path: '/reads/1', id: 'b' });
    assert.equal(during.status, 200);
    assert.equal(during.headers.connection, 'close');
    assert.equal((await running).status, 200);
    await stopped;
  });
});

describe('faults of backend servers', () => {
  async function requestWithFault(t: TestContext, fault: BackendFault, path: string) {
    const { members } = await startFleet(t, ['one']);
    const [one] = members;
    assert.ok(one !== undefined);
    one.backend.fault = fault;
    const { port } = one.settings.listeners.callers;
    const answer = await sendRequest(port, { path, id: 'x' });
    return { answer, one, port };
  }

  it('guards against "not run" for a request that has run but whose answer was lost', async (t) => {
    const { answer, one } = await requestWithFault(t, BackendFault.loseAnswer, '/orders/1');
    assert.equal(answer.status, 502);
    assert.deepEqual(one.backend.ran, ['x']);
  });

  it('guards against an unknown outcome for a request that the backend server rejected', async (t) => {
    const { answer, one } = await requestWithFault(t, BackendFault.shed, '/orders/1');
    assert.equal(answer.status, 503);
    assert.deepEqual(one.backend.ran, []);
  });

  it("guards against an answer that carries another request's id", async (t) => {
    const { answer } = await requestWithFault(t, BackendFault.wrongId, '/orders/1');
    assert.equal(answer.status, 502);
  });

  it('guards against a truncated answer that looks complete', async (t) => {
    const { answer } = await requestWithFault(t, BackendFault.truncate, '/orders/1');
    assert.equal(answer.status, 502);
  });

  // Without chunks, a caller could not tell the end of such an answer from a cut.
  it('guards against a length, or no framing at all, for an answer that ends with its connection', async (t) => {
    const { answer } = await requestWithFault(t, BackendFault.unframed, '/orders/1');
    assert.equal(answer.status, 200);
    assert.equal(answer.text, 'answer to x ');
    assert.equal(answer.complete, true);
    assert.equal(answer.headers['content-length'], undefined);
    assert.equal(answer.headers['transfer-encoding'], 'chunked');
  });

  it('guards against an unsolicited second answer that is attributed to the next request', async (t) => {
    const { answer, one, port } = await requestWithFault(t, BackendFault.extra, '/orders/1');
    assert.equal(answer.status, 200);
    one.backend.fault = BackendFault.none;
    const next = await sendRequest(port, { path: '/orders/2', id: 'y' });
    assert.equal(next.status, 200);
    assert.equal(next.text, 'answer to y ');
  });

  it('guards against a new connection for each request', async (t) => {
    const { one, port } = await requestWithFault(t, BackendFault.none, '/reads/1');
    for (let index = 0; index < 5; index += 1) await sendRequest(port, { path: '/reads/1' });
    assert.equal(one.backend.connections, 1);
  });

  it('guards against a failed idempotent request while another host is healthy', async (t) => {
    const { members } = await startFleet(t, ['one', 'two']);
    const [one, two] = members;
    assert.ok(one !== undefined && two !== undefined);
    one.backend.fault = BackendFault.loseAnswer;
    const { port } = one.settings.listeners.callers;
    const read = await sendRequest(port, { path: '/reads/1', id: 'r' });
    assert.equal(read.status, 200);
    const order = await sendRequest(port, { path: '/orders/1', id: 'o' });
    const runs = [...one.backend.ran, ...two.backend.ran].filter((id) => id === 'o');
    assert.equal(runs.length, 1);
    assert.ok(order.status === 502 || order.status === 200);
  });

  it('straggler: guards against an idempotent request that waits for one slow host', async (t) => {
    const { members } = await startFleet(t, ['one', 'two']);
    const [one, two] = members;
    assert.ok(one !== undefined && two !== undefined);
    const { port } = one.settings.listeners.callers;
    for (let index = 0; index < 8; index += 1) await sendRequest(port, { path: '/reads/1' });
    one.backend.workMilliseconds = 900;
    two.backend.workMilliseconds = 5;
    const startedAt = performance.now();
    const read = await sendRequest(port, { path: '/reads/1', id: 'r' });
    const milliseconds = performance.now() - startedAt;
    assert.equal(read.status, 200);
    assert.ok(milliseconds < 450, `answered after ${Math.round(milliseconds)} ms`);
    // The request is cancelled on the slower host.
    await waitUntil(() => members.every(({ node }) => node.load?.inFlight === 0));
  });

  it('straggler: guards against a second run of a request that is not idempotent', async (t) => {
    const { members } = await startFleet(t, ['one', 'two']);
    const [one, two] = members;
    assert.ok(one !== undefined && two !== undefined);
    const { port } = one.settings.listeners.callers;
    for (let index = 0; index < 8; index += 1) await sendRequest(port, { path: '/orders/1' });
    for (const { backend } of members) backend.workMilliseconds = 400;
    await sendRequest(port, { path: '/orders/1', id: 'o' });
    const runs = [...one.backend.ran, ...two.backend.ran].filter((id) => id === 'o');
    assert.equal(runs.length, 1);
  });

  it('guards against a backend server that keeps working after the caller has disconnected', async (t) => {
    const { members } = await startFleet(t, ['one', 'two']);
    const [one] = members;
    assert.ok(one !== undefined);
    one.backend.workMilliseconds = 600;
    const { port } = one.settings.listeners.callers;
    const clientRequest = request({
      host,
      port,
      path: '/reads/1',
      headers: { host: 'a.example', 'request-id': 'g', 'deadline-ms': '2000' },
    });
    clientRequest.on('error', () => {});
    clientRequest.end();
    await waitUntil(() => members.some(({ backend }) => backend.ran.includes('g')));
    clientRequest.destroy();
    await waitUntil(() => members.every(({ node }) => node.load?.inFlight === 0));
  });

  it('grey failure: guards against fast errors that lower the measured service time', async (t) => {
    const { members } = await startFleet(t, ['one']);
    const [one] = members;
    assert.ok(one !== undefined);
    const { port } = one.settings.listeners.callers;
    one.backend.workMilliseconds = 200;
    for (let index = 0; index < 3; index += 1) await sendRequest(port, { path: '/reads/1' });
    const before = one.node.load?.serviceMilliseconds ?? 0;
    one.backend.workMilliseconds = 1;
    one.backend.fault = BackendFault.error;
    for (let index = 0; index < 6; index += 1) await sendRequest(port, { path: '/reads/1' });
    assert.ok(before > 150, String(before));
    assert.ok((one.node.load?.serviceMilliseconds ?? 0) > before * 0.8);
  });

  it('guards against a caller that waits longer than the timeout of its route', async (t) => {
    const { members, store } = await startFleet(t, ['one']);
    const [one] = members;
    assert.ok(one !== undefined);
    store.put('config', 'main', createConfiguration(2, '300ms'));
    await waitUntil(() => one.node.configurationVersion === 2);
    one.backend.workMilliseconds = 3000;
    const startedAt = Date.now();
    const answer = await sendRequest(one.settings.listeners.callers.port, { path: '/reads/1' });
    assert.equal(answer.status, 504);
    assert.ok(Date.now() - startedAt < 700);
  });
});
