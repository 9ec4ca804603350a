import { silentLogger } from '@hickorybridge/logger';
import { LinkRelay } from '@hickorybridge/stand-ins';
import type { LoadReport, RequestHead, SocketAddress } from '@hickorybridge/types';
import { systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { createConnection } from 'node:net';
import { buffer } from 'node:stream/consumers';
import { Readable } from 'node:stream';
import { test, type TestContext } from 'node:test';

import {
  PeerPool,
  StreamedBody,
  toStream,
  type AnswerBody,
  type PeerLiveness,
  type RequestExecutor,
} from '../index.js';

const report: LoadReport = {
  limit: 4,
  inFlight: 1,
  queued: 0,
  serviceMilliseconds: 3,
  rampShare: 1,
};

function createHead(overrides: Partial<RequestHead> = {}): RequestHead {
  return {
    requestId: 'request-1',
    service: 'catalogue',
    backendServerId: 'catalogue-1',
    incarnation: 1,
    kind: 'read',
    idempotent: true,
    weight: 1,
    method: 'GET',
    target: '/boxes/1',
    headers: ['accept', '*/*'],
    deadline: systemClock.now() + 1000,
    depth: 0,
    attempts: 2,
    ...overrides,
  };
}

interface PoolOptions {
  readonly nodeId: string;
  readonly executor: RequestExecutor;
  readonly addresses: Map<string, SocketAddress>;
  readonly sharedKey?: string;
  readonly liveness?: PeerLiveness;
  readonly waitsForSilentPeers?: () => boolean;
  readonly onLoad?: () => void;
}

async function createPool(options: PoolOptions): Promise<PeerPool> {
  const pool = new PeerPool({
    endpoint: {
      identity: { nodeId: options.nodeId, incarnation: 1 },
      location: { region: 'south', failureDomain: 'south-1' },
      sharedKey: options.sharedKey,
      deploymentNumber: () => 7,
    },
    addressOf: (nodeId) => options.addresses.get(nodeId),
    executor: options.executor,
    ...(options.liveness === undefined ? {} : { liveness: options.liveness }),
    ...(options.onLoad === undefined ? {} : { onLoad: options.onLoad }),
    ...(options.waitsForSilentPeers === undefined
      ? {}
      : { waitsForSilentPeers: options.waitsForSilentPeers }),
    localLoad: () => report,
    clock: systemClock,
    logger: silentLogger,
  });
  const address = await pool.listen({ host: '127.0.0.1', port: 0 });
  assert.ok(address.ok);
  options.addresses.set(options.nodeId, address.value);
  return pool;
}

const refusing: RequestExecutor = {
  execute: async () => ({ type: 'refused', reason: 'leaving', report }),
};

const echoing: RequestExecutor = {
  execute: async (head, body) => {
    const stream = body.type === 'stream' ? body.source.take() : undefined;
    const answer: AnswerBody =
      stream === undefined
        ? { type: 'whole', data: Buffer.from(head.target) }
        : { type: 'stream', stream };
    return { type: 'answered', head: { status: 200, headers: [] }, report, body: answer };
  },
};

test('bodies of several requests on one connection reach their own callers', async () => {
  const addresses = new Map<string, SocketAddress>();
  await using first = await createPool({ nodeId: 'first', executor: refusing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: echoing, addresses });
  const { signal } = new AbortController();
  const sizes = [10_000_000, 1000, 300_000, 1];
  const answers = await Promise.all(
    sizes.map(async (size, index) => {
      const data = Buffer.alloc(size, index + 1);
      const source = new StreamedBody(Readable.from([data], { objectMode: false }));
      const body = { type: 'stream', source } as const;
      const outcome = await first.execute('second', createHead(), body, signal);
      assert.equal(outcome.type, 'answered');
      return outcome.type === 'answered'
        ? (await buffer(toStream(outcome.body))).equals(data)
        : false;
    }),
  );
  assert.deepEqual(answers, [true, true, true, true]);
  assert.equal(first.size, 1);
  assert.equal(second.size, 1);
});

test('a refusal reaches the router, and an unknown node is refused as not sent', async () => {
  const addresses = new Map<string, SocketAddress>();
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: refusing, addresses });
  const { signal } = new AbortController();
  const outcome = await first.execute('second', createHead(), { type: 'none' }, signal);
  assert.deepEqual(outcome, { type: 'refused', reason: 'leaving', report });
  const notSent = await second.execute('third', createHead(), { type: 'none' }, signal);
  assert.deepEqual(notSent, { type: 'refused', reason: 'not-sent', report: undefined });
});

test('guards against a streamed body that cannot be sent again after a refusal that did not read it', async () => {
  const addresses = new Map<string, SocketAddress>();
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: refusing, addresses });
  await using third = await createPool({ nodeId: 'third', executor: echoing, addresses });
  assert.deepEqual([second.size, third.size], [0, 0]);
  const { signal } = new AbortController();
  const data = Buffer.alloc(100_000, 1);
  const source = new StreamedBody(Readable.from([data], { objectMode: false }));
  const refused = await first.execute('second', createHead(), { type: 'stream', source }, signal);
  assert.equal(refused.type, 'refused');
  const outcome = await first.execute('third', createHead(), { type: 'stream', source }, signal);
  assert.ok(outcome.type === 'answered');
  assert.equal((await buffer(toStream(outcome.body))).equals(data), true);
  assert.equal(source.available, false);
});

test('guards against a body that two attempts read, of which each gets a part', async () => {
  const addresses = new Map<string, SocketAddress>();
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: echoing, addresses });
  assert.equal(second.size, 0);
  const { signal } = new AbortController();
  const data = Buffer.alloc(300_000, 1);
  const source = new StreamedBody(Readable.from([data], { objectMode: false }));
  const outcomes = await Promise.all(
    [1, 2].map(() => first.execute('second', createHead(), { type: 'stream', source }, signal)),
  );
  const bodies = await Promise.allSettled(
    outcomes.map((outcome) =>
      outcome.type === 'answered' ? buffer(toStream(outcome.body)) : Promise.reject(new Error('')),
    ),
  );
  const complete = bodies.filter((body) => body.status === 'fulfilled');
  assert.deepEqual(
    complete.map(({ value }) => value.length),
    [data.length],
  );
});

test('a connection that ends before the answer leaves the request lost, not refused', async () => {
  const addresses = new Map<string, SocketAddress>();
  const waiting: RequestExecutor = { execute: () => new Promise(() => {}) };
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  const second = await createPool({ nodeId: 'second', executor: waiting, addresses });
  const { signal } = new AbortController();
  const pending = first.execute('second', createHead(), { type: 'none' }, signal);
  setTimeout(() => second[Symbol.asyncDispose](), 50);
  assert.equal((await pending).type, 'lost');
});

test('an answer whose source fails breaks off with an error instead of ending early', async () => {
  const addresses = new Map<string, SocketAddress>();
  const breaking: RequestExecutor = {
    execute: async () => ({
      type: 'answered',
      head: { status: 200, headers: [] },
      report,
      body: {
        type: 'stream',
        stream: Readable.from(
          (async function* produce() {
            yield Buffer.alloc(1000);
            throw new Error('backend server reset the connection');
          })(),
          { objectMode: false },
        ),
      },
    }),
  };
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: breaking, addresses });
  assert.equal(second.size, 0);
  const { signal } = new AbortController();
  const outcome = await first.execute('second', createHead(), { type: 'none' }, signal);
  assert.ok(outcome.type === 'answered');
  await assert.rejects(buffer(toStream(outcome.body)), /broke off/);
});

for (const [kind, bytes] of [
  ['shorter', 99_999],
  ['longer', 100_001],
] as const) {
  test(`guards against an answer ${kind} than its declared length that looks whole`, async () => {
    const addresses = new Map<string, SocketAddress>();
    const executor: RequestExecutor = {
      execute: async () => ({
        type: 'answered',
        head: { status: 200, headers: [], contentLength: 100_000 },
        report,
        body: {
          type: 'stream',
          stream: Readable.from([Buffer.alloc(bytes)], { objectMode: false }),
        },
      }),
    };
    await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
    await using second = await createPool({ nodeId: 'second', executor, addresses });
    assert.equal(second.size, 0);
    const { signal } = new AbortController();
    const outcome = await first.execute('second', createHead(), { type: 'none' }, signal);
    assert.ok(outcome.type === 'answered' && outcome.body.type === 'stream');
    assert.equal(outcome.head.contentLength, 100_000);
    await assert.rejects(buffer(outcome.body.stream), /of a body of 100000 bytes came/);
    const next = await second.execute('first', createHead(), { type: 'none' }, signal);
    assert.equal(next.type, 'answered');
  });
}

test('guards against an answer that cannot be encoded and leaves its request open', async () => {
  const addresses = new Map<string, SocketAddress>();
  const head = {
    headers: [],
    get status(): number {
      throw new Error('a fault');
    },
  };
  const faulty: RequestExecutor = {
    execute: async () => ({
      type: 'answered',
      head,
      report,
      body: { type: 'whole', data: Buffer.alloc(0) },
    }),
  };
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: faulty, addresses });
  const { signal } = new AbortController();
  const outcome = await first.execute('second', createHead(), { type: 'none' }, signal);
  assert.equal(outcome.type, 'lost');
  assert.equal(second.runningRequests, 0);
});

test('guards against a request that cannot be encoded and counts as one that may have run', async () => {
  const addresses = new Map<string, SocketAddress>();
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: echoing, addresses });
  assert.equal(second.size, 0);
  const { signal } = new AbortController();
  const head = Object.defineProperty(createHead(), 'target', {
    get: () => {
      throw new Error('a fault');
    },
  });
  const outcome = await first.execute('second', head, { type: 'none' }, signal);
  assert.deepEqual(outcome, { type: 'refused', reason: 'not-sent', report: undefined });
});

test('guards against a fault in handling a frame that leaves the requests of its connection open', async () => {
  const addresses = new Map<string, SocketAddress>();
  const onLoad = () => {
    throw new Error('a fault');
  };
  const slow: RequestExecutor = {
    execute: async () => {
      await systemClock.sleep(5000);
      return { type: 'refused', reason: 'leaving', report };
    },
  };
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses, onLoad });
  await using second = await createPool({ nodeId: 'second', executor: slow, addresses });
  assert.equal(second.size, 0);
  const { signal } = new AbortController();
  const pending = first.execute('second', createHead(), { type: 'none' }, signal);
  while (!first.requestLoad('second')) await systemClock.sleep(5);
  const startedAt = systemClock.now();
  assert.equal((await pending).type, 'lost');
  assert.ok(systemClock.now() - startedAt < 1000, 'the request waited for the host');
  const next = await first.call('second', 'anything', {}, 500);
  assert.equal(next.ok === false && next.error.type, 'rejected');
});

test('a process without the shared key gets no connection', async () => {
  const addresses = new Map<string, SocketAddress>();
  const sharedKey = 'correct';
  await using first = await createPool({
    nodeId: 'first',
    executor: echoing,
    addresses,
    sharedKey: 'wrong',
  });
  await using second = await createPool({
    nodeId: 'second',
    executor: echoing,
    addresses,
    sharedKey,
  });
  const reply = await first.call('second', 'anything', {}, 500);
  assert.ok(!reply.ok);
  assert.equal(reply.error.type, 'unreachable');
  assert.equal(second.size, 0);
});

test('an oversized frame before the handshake closes only its own connection', async () => {
  const addresses = new Map<string, SocketAddress>();
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: echoing, addresses });
  second.handle('ping', () => 'pong');
  const address = addresses.get('second') as SocketAddress;
  const intruder = createConnection(address.port, address.host);
  intruder.write(Buffer.from([0x7f, 0xff, 0xff, 0xff, 1, 2, 3]));
  await new Promise((resolve) => {
    intruder.resume().once('close', resolve);
  });
  const reply = await first.call('second', 'ping', {}, 500);
  assert.deepEqual(reply, { ok: true, value: 'pong' });
});

test('two nodes that dial each other at once keep one connection', async () => {
  const addresses = new Map<string, SocketAddress>();
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: echoing, addresses });
  for (const pool of [first, second]) pool.handle('ping', () => 'pong');
  const replies = await Promise.all([
    first.call('second', 'ping', {}, 500),
    second.call('first', 'ping', {}, 500),
  ]);
  assert.deepEqual(
    replies.map((reply) => reply.ok),
    [true, true],
  );
  await systemClock.sleep(7000);
  assert.deepEqual([first.size, second.size], [1, 1]);
  const reply = await second.call('first', 'ping', {}, 500);
  assert.deepEqual(reply, { ok: true, value: 'pong' });
});

test('guards against an address out of range that rejects instead of failing as a value', async () => {
  for (const port of [70_000, -1, 1.5, 1e308]) {
    const addresses = new Map<string, SocketAddress>([['odd', { host: '127.0.0.1', port }]]);
    await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const outcome = await first.execute(
        'odd',
        createHead(),
        { type: 'none' },
        new AbortController().signal,
      );
      assert.deepEqual(outcome, { type: 'refused', reason: 'not-sent', report: undefined });
    }
  }
});

test('guards against an executor that throws and leaves the peer waiting', async () => {
  const addresses = new Map<string, SocketAddress>();
  const throwing: RequestExecutor = { execute: () => Promise.reject(new Error('a fault here')) };
  await using first = await createPool({ nodeId: 'first', executor: echoing, addresses });
  await using second = await createPool({ nodeId: 'second', executor: throwing, addresses });
  second.handle('ping', () => 'pong');
  const outcome = await first.execute(
    'second',
    createHead(),
    { type: 'none' },
    new AbortController().signal,
  );
  assert.equal(outcome.type, 'lost');
  assert.deepEqual(await first.call('second', 'ping', {}, 500), { ok: true, value: 'pong' });
});

/** Cuts the connection of two nodes for a moment while the second one runs a request. */
async function requestOverCutLink(
  t: TestContext,
  idempotent: boolean,
  cutMilliseconds: number,
  waitsForSilentPeers = false,
) {
  const relay = new LinkRelay({
    regions: ['south', 'apart'],
    settings: { delayMilliseconds: 0, megabitsPerSecond: 0 },
  });
  const liveness: PeerLiveness = {
    heartbeatWhenWaitingMilliseconds: 50,
    heartbeatWhenIdleMilliseconds: 1000,
    silenceLimitMilliseconds: 100,
    closeAfterMilliseconds: 2000,
    tickMilliseconds: 20,
  };
  const runs: AbortSignal[] = [];
  const slow: RequestExecutor = {
    execute: async (head, body, signal) => {
      runs.push(signal);
      await systemClock.sleep(300);
      return echoing.execute(head, body, signal);
    },
  };
  const addresses = new Map<string, SocketAddress>();
  const first = await createPool({
    nodeId: 'first',
    executor: echoing,
    addresses,
    liveness,
    waitsForSilentPeers: () => waitsForSilentPeers,
  });
  const second = await createPool({ nodeId: 'second', executor: slow, addresses, liveness });
  const target = addresses.get('second') as SocketAddress;
  addresses.set('second', await relay.addRoute({ target, region: 'south', from: 'apart' }));
  t.after(async () => {
    await relay[Symbol.asyncDispose]();
    await first[Symbol.asyncDispose]();
    await second[Symbol.asyncDispose]();
  });
  await first.open('second');
  const head = createHead({ idempotent, deadline: systemClock.now() + 5000 });
  const startedAt = systemClock.now();
  const pending = first.execute('second', head, { type: 'none' }, new AbortController().signal);
  await systemClock.sleep(50);
  relay.setCut(true);
  await systemClock.sleep(250);
  const wasUsable = first.isConnected('second');
  await systemClock.sleep(cutMilliseconds - 250);
  relay.setCut(false);
  const outcome = await pending;
  return { milliseconds: systemClock.now() - startedAt, outcome, runs, wasUsable };
}

test('guards against a non-idempotent request that is given up because its peer was silent for a while', async (t) => {
  const { outcome, runs, wasUsable } = await requestOverCutLink(t, false, 700);
  assert.equal(outcome.type, 'answered');
  assert.deepEqual(
    runs.map(({ aborted }) => aborted),
    [false],
  );
  assert.equal(wasUsable, false, 'a silent peer still gets requests');
});

test('guards against an idempotent request that waits for a silent peer', async (t) => {
  const { outcome } = await requestOverCutLink(t, true, 700);
  assert.equal(outcome.type, 'lost');
});

// The backend server works on, and the caller of a stopping node has no other way to an answer.
test('guards against a request of a stopping node that is given up because its peer was silent', async (t) => {
  const { outcome, runs } = await requestOverCutLink(t, true, 700, true);
  assert.equal(outcome.type, 'answered');
  assert.deepEqual(
    runs.map(({ aborted }) => aborted),
    [false],
  );
});

test('guards against a request that waits for ever for a peer that stays silent', async (t) => {
  const { milliseconds, outcome } = await requestOverCutLink(t, false, 3000);
  assert.equal(outcome.type, 'lost');
  assert.ok(milliseconds > 2000 && milliseconds < 3500, `${milliseconds} ms`);
});
