import { TokenBatch } from '@hickorybridge/coordination';
import { createLogger } from '@hickorybridge/logger';
import type { CallerLimits, Tenant } from '@hickorybridge/types';
import { ConnectionAccount, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import { describe, it, type TestContext } from 'node:test';
import { setImmediate as nextCheckPhase } from 'node:timers/promises';

import {
  CallersListener,
  type CallersListenerOptions,
  type FinishedRequest,
} from '../callers/CallersListener.js';
import { clientLimits } from '../callers/clientLimits.js';
import type { CallerOutcome, CallerRequest } from '../routing/CallerRequest.js';
import type { RequestRouter } from '../routing/RequestRouter.js';
import { freePorts, host, sendRequest } from './fleet.js';

const expectedWorkMilliseconds = 100;

/** Starts a listener over a stub router. */
async function startListener(
  t: TestContext,
  { findRoute, route }: Pick<RequestRouter, 'findRoute' | 'route'>,
  endsAt?: number,
  changes: Pick<CallersListenerOptions, 'quotas'> & {
    tenantsByKey?: Map<string, Tenant>;
    isNestedCall?: boolean;
  } = {},
) {
  const { isNestedCall = false, quotas, tenantsByKey } = changes;
  const events: string[] = [];
  const finished: FinishedRequest[] = [];
  const router = {
    configuration: { limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536 }, tenantsByKey },
    callerTimeoutEstimator: { estimateElapsed: () => 0 },
    chooseService: () => 'desk',
    expectedWork: () => expectedWorkMilliseconds,
    findRoute,
    route,
  } as unknown as RequestRouter;
  const listener = new CallersListener({
    router,
    service: () => 'desk',
    isNestedCall: () => isNestedCall,
    isBelowRepeat: () => false,
    endsAt: () => endsAt,
    ...(quotas === undefined ? {} : { quotas }),
    onFinished: (exchange) => finished.push(exchange),
    stallDetector: { recordActivity: () => {}, unreadSince: () => systemClock.now() },
    account: new ConnectionAccount({ ...clientLimits({}), clock: systemClock }),
    clock: systemClock,
    logger: createLogger({
      level: 'info',
      format: 'json',
      fields: {},
      write: (line) => events.push((JSON.parse(line) as { event: string }).event),
    }),
  });
  const [port = 0] = await freePorts(1);
  await listener.listen({ host, port });
  t.after(() => listener[Symbol.asyncDispose]());
  const send = () =>
    sendRequest(port, { path: '/reads/1', id: 'x', signal: AbortSignal.timeout(2000) });
  return { events, finished, listener, port, send };
}

const findRoute = (() => ({
  name: 'reads',
  timeoutMilliseconds: 1000,
  targetMilliseconds: 500,
})) as unknown as RequestRouter['findRoute'];

const idempotentRoute = (() => ({
  name: 'reads',
  idempotent: true,
  timeoutMilliseconds: 1000,
  targetMilliseconds: 500,
})) as unknown as RequestRouter['findRoute'];

describe('CallersListener', () => {
  it('guards against a request that stays open when its routing fails unexpectedly', async (t) => {
    const route = () => Promise.reject(new Error('a fault'));
    const { events, finished, listener, send } = await startListener(t, { findRoute, route });
    assert.equal((await send()).status, 502);
    assert.deepEqual(events, ['request-fault']);
    assert.equal(finished[0]?.outcome.type, 'failed');
    assert.equal(listener.open, 0);
  });

  it('guards against a request that stays open when the search for its route throws', async (t) => {
    const { events, send } = await startListener(t, {
      findRoute: () => {
        throw new Error('a fault');
      },
      route: () => Promise.reject(new Error('is not called')),
    });
    assert.equal((await send()).status, 502);
    assert.deepEqual(events, ['request-fault']);
  });

  it('guards against a request that stays open when its answer cannot be written', async (t) => {
    const head = { status: 200, headers: ['server load', '1'] };
    const outcome: CallerOutcome = {
      type: 'answered',
      head,
      body: { type: 'whole', data: Buffer.from('done') },
    };
    const { events, finished, listener, send } = await startListener(t, {
      findRoute,
      route: () => Promise.resolve(outcome),
    });
    assert.equal((await send()).status, 502);
    assert.deepEqual(events, ['answer-not-sendable']);
    assert.equal(finished[0]?.outcome.type, 'failed');
    assert.equal(listener.open, 0);
  });

  it('guards against requests over a limit that run, and against tokens that are not returned', async (t) => {
    const tenant: Tenant = { name: 'small', requestsPerSecond: 1, burst: 0 };
    const token = new TokenBatch(tenant, 1, Infinity);
    const released: unknown[] = [];
    let left = 2;
    let routed = 0;
    const quotas: CallersListenerOptions['quotas'] = {
      acquire: () => {
        left -= 1;
        return left < 0
          ? { type: 'over-quota', retryMilliseconds: 250 }
          : { type: 'granted', token };
      },
      release: (_tenant, returned) => released.push(returned),
    };
    const route = async (): Promise<CallerOutcome> => {
      routed += 1;
      return { type: 'failed', reason: 'overloaded', mayHaveRun: routed === 2, detail: '' };
    };
    const tenantsByKey = new Map([['key', tenant]]);
    const { port } = await startListener(t, { findRoute, route }, undefined, {
      quotas,
      tenantsByKey,
    });
    const send = () =>
      sendRequest(port, { path: '/reads/1', headers: { authorization: 'Bearer key' } });
    assert.equal((await send()).status, 503);
    assert.equal((await send()).status, 502);
    const refusal = await send();
    assert.equal(refusal.status, 429);
    assert.equal(refusal.headers['retry-after'], '0.250');
    assert.equal(routed, 2);
    assert.deepEqual(released, [token]);
  });

  it('guards against work for a caller of a stopping node that cannot end in time', async (t) => {
    const endsAt = systemClock.now() + 300;
    const deadlines: number[] = [];
    const route = async ({ deadline }: CallerRequest): Promise<CallerOutcome> => {
      deadlines.push(deadline);
      return { type: 'failed', reason: 'overloaded', mayHaveRun: false, detail: '' };
    };
    const { send } = await startListener(t, { findRoute, route }, endsAt);
    await send();
    assert.deepEqual(deadlines, [endsAt]);
  });

  // Passed on, it would run until the node ends, and get a 504 in place of its answer.
  it('guards against a request that usually takes longer than a stopping node runs', async (t) => {
    const endsAt = systemClock.now() + expectedWorkMilliseconds / 2;
    const { finished, send } = await startListener(t, { findRoute, route: notRouted }, endsAt);
    const refusal = await send();
    assert.equal(refusal.status, 503);
    assert.ok(Number(refusal.headers['retry-after']) > 0);
    const outcome = finished[0]?.outcome;
    assert.equal(outcome?.type === 'failed' && outcome.reason, 'stopping');
  });

  it('guards against a refused connection in place of a refusal that says when to return', async (t) => {
    const endsAt = systemClock.now() + 60_000;
    const { listener, send } = await startListener(t, { findRoute, route: notRouted }, endsAt);
    listener.stopAccepting();
    const refusal = await send();
    assert.equal(refusal.status, 503);
    assert.ok(Number(refusal.headers['retry-after']) > 0);
  });

  // Without its calls, a request that is still running fails.
  for (const [what, leftMilliseconds, status] of [
    ['is refused although it ends in time', 1500, 200],
    ['may be cut off at the end', 500, 503],
  ] as const) {
    it(`guards against a call of a running request that ${what}`, async (t) => {
      const { listener, send } = await startListener(
        t,
        { findRoute, route: async () => answered('done') },
        systemClock.now() + leftMilliseconds,
        { isNestedCall: true },
      );
      listener.stopAccepting();
      assert.equal((await send()).status, status);
    });
  }

  it('guards against a request that is cut off without an answer when the node ends', async (t) => {
    const route = async ({ signal }: CallerRequest): Promise<CallerOutcome> => {
      await once(signal, 'abort');
      return { type: 'failed', reason: signal.reason, mayHaveRun: true, detail: '' };
    };
    const { finished, listener, send } = await startListener(t, { findRoute, route });
    const answer = send();
    while (listener.open === 0) await systemClock.sleep(5);
    listener.endOpenRequests();
    assert.equal((await answer).status, 502);
    assert.equal(finished[0]?.outcome.type === 'failed' && finished[0].outcome.reason, 'stopping');
  });

  // The end of a process closes its connections as if an answer without a length were complete.
  it('guards against an answer without a length that looks complete when the node ends', async (t) => {
    const stream = new PassThrough();
    stream.write('the first part');
    const head = { status: 200, headers: [], endsWithConnection: true };
    const { listener, port } = await startListener(t, {
      findRoute,
      route: () => Promise.resolve({ type: 'answered', head, body: { type: 'stream', stream } }),
    });
    const socket = connect(port, host);
    socket.write('GET /reads/1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: x\r\n\r\n');
    await once(socket, 'data');
    listener.endOpenRequests();
    const [error] = (await once(socket, 'error')) as [NodeJS.ErrnoException];
    assert.equal(error.code, 'ECONNRESET');
  });

  // The HTTP client of Node.js refuses to send these. Its parser accepts them or not, by version.
  for (const [part, requestLine, header] of [
    ['header name', 'GET /reads/1 HTTP/1.1', 'x y: 1'],
    ['empty header name', 'GET /reads/1 HTTP/1.1', ': 1'],
    ['path', 'GET /reads/\t1 HTTP/1.1', 'x-y: 1'],
  ] as const) {
    it(`guards against a promise to serve a request later whose ${part} cannot be forwarded`, async (t) => {
      let routed = 0;
      const { port } = await startListener(t, {
        findRoute,
        route: () => {
          routed += 1;
          return Promise.reject(new Error('is not called'));
        },
      });
      const socket = connect(port, host);
      socket.end(`${requestLine}\r\nhost: a.example\r\n${header}\r\nconnection: close\r\n\r\n`);
      const answer = await text(socket);
      assert.match(answer, /^HTTP\/1\.1 400 /);
      assert.doesNotMatch(answer, /retry-after/i);
      assert.equal(routed, 0);
    });
  }

  it('guards against slots taken by requests without an id, which backend servers reject', async (t) => {
    const { port } = await startListener(t, { findRoute, route: notRouted });
    const socket = connect(port, host);
    socket.end('GET /reads/1 HTTP/1.1\r\nhost: a.example\r\n\r\n');
    assert.match(await text(socket), /^HTTP\/1\.1 400 [^]*Request-Id/);
  });

  it('guards against a head over the limit of the parser that gets no answer', async (t) => {
    const { port } = await startListener(t, { findRoute, route: notRouted });
    const socket = connect(port, host);
    socket.write(`GET / HTTP/1.1\r\nhost: a.example\r\nx: ${'x'.repeat(300_000)}`);
    assert.match(await text(socket), /^HTTP\/1\.1 431 /);
  });

  it('guards against a head without end that gets no answer', async (t) => {
    const { listener, port } = await startListener(t, { findRoute, route: notRouted });
    const limits = { headerTimeoutMilliseconds: -900, idleTimeoutMilliseconds: 1000 };
    listener.applyLimits({ ...limits, maxHeaderBytes: 16_384, maxBodyBytes: 65_536 });
    const socket = connect(port, host);
    socket.write('GET / HTTP/1.1\r\nhost: a.example\r\n');
    assert.match(await text(socket), /^HTTP\/1\.1 408 /);
  });

  it('guards against a refusal of a malformed head inside the answer to the request before it', async (t) => {
    const stream = new PassThrough();
    stream.write('first ');
    const head = { status: 200, headers: [], contentLength: 12 };
    const { port } = await startListener(t, {
      findRoute,
      route: () => Promise.resolve({ type: 'answered', head, body: { type: 'stream', stream } }),
    });
    const socket = connect(port, host);
    const answers = text(socket);
    socket.write(
      'GET /reads/1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: x\r\n\r\nGET / HTTP/1.1\r\n: 1\r\n\r\n',
    );
    await systemClock.sleep(50);
    socket.write('more bytes of the rejected request');
    stream.end('second');
    assert.match(await answers, /^HTTP\/1\.1 200 [^]*first secondHTTP\/1\.1 400 [^]*"bad-request"/);
  });

  it('guards against pipelined requests that wait for the answers before them', async (t) => {
    const outcomes: ((outcome: CallerOutcome) => void)[] = [];
    const { port } = await startListener(t, {
      findRoute: idempotentRoute,
      route: () =>
        new Promise((resolve) => {
          outcomes.push(resolve);
        }),
    });
    const socket = connect(port, host);
    socket.write('GET /reads/1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: x\r\n\r\n'.repeat(2));
    const answers = text(socket);
    while (outcomes.length < 2) await systemClock.sleep(5);
    outcomes[1]?.(answered('second'));
    await systemClock.sleep(20);
    outcomes[0]?.(answered('first'));
    socket.end();
    assert.match(await answers, /first[^]*second$/);
  });

  it('guards against a second run of a request behind an answer that closes the connection', async (t) => {
    let routed = 0;
    const { port } = await startListener(
      t,
      {
        findRoute,
        route: async () => {
          routed += 1;
          return answered('first');
        },
      },
      systemClock.now() + 1000,
    );
    const socket = connect(port, host);
    socket.write(
      'POST /orders/1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: x\r\ncontent-length: 0\r\n\r\n'.repeat(
        2,
      ),
    );
    assert.match(await text(socket), /connection: close[^]*first$/i);
    assert.equal(routed, 1);
  });

  it('guards against pipelined requests that run on after the caller has left', async (t) => {
    const signals: AbortSignal[] = [];
    const { listener, port } = await startListener(t, {
      findRoute: idempotentRoute,
      route: ({ signal }) => {
        signals.push(signal);
        return once(signal, 'abort').then(() => answered('late'));
      },
    });
    const socket = connect(port, host);
    socket.write('GET /reads/1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: x\r\n\r\n'.repeat(3));
    while (signals.length < 3) await systemClock.sleep(5);
    socket.destroy();
    while (signals.some(({ aborted }) => !aborted)) await systemClock.sleep(5);
    assert.equal(listener.open, 0);
  });

  it('guards against a connection that the caller of a malformed head keeps open', async (t) => {
    const { port } = await startListener(t, { findRoute, route: notRouted });
    const socket = connect({ port, host, allowHalfOpen: true });
    socket.write('GET / HTTP/1.1\r\nx y: 1\r\n: 1\r\n\r\n');
    socket.resume();
    await once(socket, 'end');
    const sender = setInterval(() => socket.write('x'), 20);
    t.after(() => clearInterval(sender));
    const [error] = (await once(socket, 'error')) as [NodeJS.ErrnoException];
    assert.match(String(error.code), /^(ECONNRESET|EPIPE)$/);
  });
});

/** Limits that add nothing to the margins of the listener, of 1 s each. */
const shortestLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 65_536,
  headerTimeoutMilliseconds: 0,
  idleTimeoutMilliseconds: 0,
};
const orderLine = 'POST /orders/1 HTTP/1.1\r\n';
const orderHead = 'host: a.example\r\nrequest-id: x\r\ncontent-length: 0\r\n\r\n';

/**
 * Writes while the event loop stands still. It runs the timers that have become due before it reads.
 */
async function writeDuringStall(
  socket: Socket,
  bytes: string,
  milliseconds: number,
): Promise<void> {
  await nextCheckPhase();
  socket.write(bytes);
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

/** A listener with the shortest limits, which counts the requests that it routes. */
async function startCountingListener(t: TestContext) {
  const counts = { routed: 0 };
  const { listener, port } = await startListener(t, {
    findRoute,
    route: async () => {
      counts.routed += 1;
      return answered('done');
    },
  });
  listener.applyLimits(shortestLimits);
  return { counts, port };
}

describe('time limits of the connections of callers', () => {
  for (const [kind, early] of [
    ['an unused connection', ''],
    ['a slow head', orderLine],
  ] as const) {
    it(`guards against a 408 for a request on ${kind} that arrived while the process stood still`, async (t) => {
      const { counts, port } = await startCountingListener(t);
      const socket = connect(port, host);
      t.after(() => socket.destroy());
      await once(socket, 'connect');
      socket.write(early);
      await systemClock.sleep(300);
      await writeDuringStall(socket, `${orderLine}${orderHead}`.slice(early.length), 2200);
      const [answer] = (await once(socket, 'data')) as [Buffer];
      assert.match(answer.toString(), /^HTTP\/1\.1 200 /);
      assert.equal(counts.routed, 1);
    });
  }

  it('guards against running a request whose head arrives after the 408', async (t) => {
    const { counts, port } = await startCountingListener(t);
    const socket = connect({ port, host, allowHalfOpen: true });
    t.after(() => socket.destroy());
    socket.write(orderLine);
    const [answer] = (await once(socket, 'data')) as [Buffer];
    assert.match(answer.toString(), /^HTTP\/1\.1 408 /);
    socket.write(orderHead);
    await systemClock.sleep(400);
    assert.equal(counts.routed, 0);
  });

  it('guards against running a request whose head arrives while the 408 waits for an earlier answer', async (t) => {
    const outcomes: ((outcome: CallerOutcome) => void)[] = [];
    const { listener, port } = await startListener(t, {
      findRoute,
      route: () =>
        new Promise((resolve) => {
          outcomes.push(resolve);
        }),
    });
    listener.applyLimits(shortestLimits);
    const socket = connect({ port, host, allowHalfOpen: true });
    t.after(() => socket.destroy());
    const answers: Buffer[] = [];
    socket.on('data', (part: Buffer) => answers.push(part));
    socket.write(`${orderLine}${orderHead}${orderLine}`);
    // The head times out after 1 to 2 s.
    await systemClock.sleep(2500);
    socket.write(orderHead);
    await systemClock.sleep(50);
    outcomes[0]?.(answered('first'));
    await systemClock.sleep(50);
    assert.match(Buffer.concat(answers).toString(), /first[^]*HTTP\/1\.1 408 /);
    assert.equal(outcomes.length, 1);
  });

  it('guards against a lost request that arrived on an idle connection while the process stood still', async (t) => {
    const { counts, port } = await startCountingListener(t);
    const socket = connect(port, host);
    t.after(() => socket.destroy());
    socket.write(`${orderLine}${orderHead}`);
    await once(socket, 'data');
    await systemClock.sleep(300);
    await writeDuringStall(socket, `${orderLine}${orderHead}`, 2200);
    const [answer] = (await once(socket, 'data')) as [Buffer];
    assert.match(answer.toString(), /^HTTP\/1\.1 200 /);
    assert.equal(counts.routed, 2);
  });
});

function answered(body: string): CallerOutcome {
  return {
    type: 'answered',
    head: { status: 200, headers: [] },
    body: { type: 'whole', data: Buffer.from(body) },
  };
}

async function notRouted(): Promise<CallerOutcome> {
  throw new Error('is not called');
}
