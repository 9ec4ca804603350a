import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serialize } from 'node:v8';

import { ClaimHolder } from '../ClaimHolder.js';
import { chooseHolders, countFailureDomains } from '../chooseHolders.js';
import { encodeClaim, encodeFinish, encodeRelease } from '../claimCodec.js';
import { deriveClaimKey, shortenFingerprint } from '../claimKey.js';
import { RecordState, mergeRecords } from '../claimRecord.js';
import type { ClaimRecord } from '../claimRecord.js';
import { packRecord, unpackRecord } from '../packRecord.js';
import { ClaimCall, History } from '../messages.js';
import type {
  ClaimMessage,
  ClaimReply,
  FinishMessage,
  SealMessage,
  PullReply,
} from '../messages.js';
import { SimulatedCluster, fourDomains } from './SimulatedCluster.js';

const keeper = 'south-1-0';
const key = deriveClaimKey('laboratory', 'key');
const fingerprint = shortenFingerprint('same');

const encoders: Record<string, ((message: FinishMessage) => unknown) | undefined> = {
  [ClaimCall.claim]: encodeClaim,
  [ClaimCall.finish]: encodeFinish,
  [ClaimCall.release]: encodeRelease,
};

/** A cluster whose keeper does not hold the key, and direct calls to the key's holders. */
async function startCluster(): Promise<SimulatedCluster> {
  for (let seed = 1; ; seed += 1) {
    const nodes = fourDomains(seed + 1);
    const cluster = new SimulatedCluster({ seed, nodes });
    cluster.giveLease(keeper);
    await cluster.keep(keeper);
    if (!holdersOf(cluster).includes(keeper)) return cluster;
  }
}

function holdersOf(cluster: SimulatedCluster): string[] {
  return cluster.shard(key.shard).holders.map((holder) => holder.nodeId);
}

function callHolder(
  cluster: SimulatedCluster,
  nodeId: string,
  name: string,
  body: object,
): unknown {
  const { process } = cluster.node(nodeId);
  const encode = encoders[name];
  const wire = encode === undefined ? body : encode(body as FinishMessage);
  return process.handlers.get(name)?.(wire, process.identity);
}

function claimBy(
  cluster: SimulatedCluster,
  attempt: string,
  change: object = {},
): ClaimMessage & SealMessage {
  const { id, number } = cluster.shard(key.shard);
  return { ...key, viewId: id, viewNumber: number, attempt, fingerprint, ...change };
}

function claimAt(cluster: SimulatedCluster, nodeId: string, message: ClaimMessage): string {
  return (callHolder(cluster, nodeId, ClaimCall.claim, message) as ClaimReply).type;
}

test('a sealed holder grants nothing, so that what is collected stays complete', async () => {
  const cluster = await startCluster();
  const [first = ''] = holdersOf(cluster);
  const message = claimBy(cluster, 'a');
  assert.equal(claimAt(cluster, first, message), 'granted');
  callHolder(cluster, first, ClaimCall.seal, message);
  assert.equal(claimAt(cluster, first, message), 'inactive');
  assert.equal(claimAt(cluster, first, claimBy(cluster, 'b', { digest: 'other' })), 'inactive');
});

test('records are given only by a sealed holder, which can no longer add to them', async () => {
  const cluster = await startCluster();
  const [first = ''] = holdersOf(cluster);
  const message = { ...claimBy(cluster, 'a'), cursor: 0 };
  const before = callHolder(cluster, first, ClaimCall.pull, message) as PullReply;
  assert.equal(before.type, 'no-history');
  callHolder(cluster, first, ClaimCall.seal, message);
  assert.equal((callHolder(cluster, first, ClaimCall.pull, message) as PullReply).type, 'page');
});

test('a former holder grants nothing in the view that it was dropped from, or in another', async () => {
  const cluster = await startCluster();
  const [first = ''] = holdersOf(cluster);
  const former = claimBy(cluster, 'a');
  cluster.live.delete(first);
  await cluster.keep(keeper);
  assert.ok(!holdersOf(cluster).includes(first));
  assert.equal(claimAt(cluster, first, former), 'inactive');
  assert.equal(claimAt(cluster, first, claimBy(cluster, 'a')), 'inactive');
});

test('a node does not prepare in the name of its former incarnation', async () => {
  const cluster = await startCluster();
  const [first = ''] = holdersOf(cluster);
  const { incarnation } = cluster.node(first).process.identity;
  const message = {
    shard: key.shard,
    viewNumber: 2,
    viewId: 'x',
    incarnation: incarnation - 1,
    history: History.first,
    sources: [],
  };
  const reply = callHolder(cluster, first, ClaimCall.prepare, message);
  assert.equal((reply as { type: string }).type, 'failed');
});

test('after two attempts met on a lost quorum, the loser cannot free the key of the winner', async () => {
  const cluster = await startCluster();
  const [first = '', second = '', third = ''] = holdersOf(cluster);
  assert.equal(claimAt(cluster, first, claimBy(cluster, 'a')), 'granted');
  assert.equal(claimAt(cluster, second, claimBy(cluster, 'b')), 'granted');
  assert.equal(claimAt(cluster, third, claimBy(cluster, 'b')), 'granted');
  cluster.stop(third);
  await cluster.keep(keeper);
  for (const holder of holdersOf(cluster)) {
    callHolder(cluster, holder, ClaimCall.release, claimBy(cluster, 'a'));
  }
  const later = await cluster.settle(cluster.claim(keeper, 'key'));
  assert.equal(later.type, 'claimed-elsewhere');
  for (const holder of holdersOf(cluster)) {
    callHolder(cluster, holder, ClaimCall.release, claimBy(cluster, 'b'));
  }
  assert.equal((await cluster.settle(cluster.claim(keeper, 'key'))).type, 'granted');
});

test('a claim that arrives after its release leaves no record behind', async () => {
  const cluster = await startCluster();
  for (const holder of holdersOf(cluster)) {
    callHolder(cluster, holder, ClaimCall.release, claimBy(cluster, 'a'));
    assert.notEqual(claimAt(cluster, holder, claimBy(cluster, 'a')), 'granted');
  }
  assert.equal((await cluster.settle(cluster.claim(keeper, 'key'))).type, 'granted');
});

test('live holders that do not answer the keeper are not given up', async () => {
  const cluster = await startCluster();
  const [first = '', second = '', third = ''] = holdersOf(cluster);
  cluster.start(first);
  for (const silent of [second, third]) cluster.network.cuts.add(`${keeper}>${silent}`);
  await cluster.keep(keeper, 3);
  assert.equal(cluster.shard(key.shard).number, 1);
  const router = [...cluster.nodes.keys()].at(-1) ?? '';
  assert.equal((await cluster.settle(cluster.claim(router, 'key'))).type, 'granted');
  cluster.network.cuts.clear();
  await cluster.keep(keeper);
  assert.equal((await cluster.settle(cluster.claim(keeper, 'key'))).type, 'claimed-elsewhere');
});

test('a merge of two records protects the key until the younger one expires', () => {
  const record: ClaimRecord = {
    attempt: 'a',
    rivals: [],
    fingerprint: 'f',
    state: RecordState.claimed,
    answer: undefined,
    createdAt: 1,
  };
  const finished = { ...record, state: RecordState.finished };
  const younger = { ...record, attempt: 'b', createdAt: 2 };
  for (const [first, second] of [
    [finished, younger],
    [younger, finished],
    [record, younger],
  ] as const) {
    assert.equal(mergeRecords(first, second).createdAt, 2);
  }
  assert.deepEqual(mergeRecords(record, younger).rivals, ['b']);
});

test('a packed record loses nothing, and its time is never earlier', () => {
  const body = Buffer.from([0, 10, 32, 128, 255]);
  const record: ClaimRecord = {
    attempt: 'a-1',
    rivals: ['b_2', 'c'],
    fingerprint: '',
    state: RecordState.finished,
    answer: { status: 201, headers: ['a b', 'ü€\n'], body },
    createdAt: -12.5,
  };
  assert.deepEqual(unpackRecord(packRecord(record)), { ...record, createdAt: -12 });
  const bare = { ...record, rivals: [], answer: undefined, createdAt: 5 };
  assert.deepEqual(unpackRecord(packRecord(bare)), bare);
});

test('a malformed claim is refused and leaves no record', async () => {
  const cluster = await startCluster();
  const [first = ''] = holdersOf(cluster);
  assert.equal(claimAt(cluster, first, claimBy(cluster, 'a b')), 'malformed');
  assert.equal(claimAt(cluster, first, claimBy(cluster, 'a', { digest: 7 })), 'malformed');
  assert.equal(cluster.node(first).holder.recordCount, 0);
});

test('records move in messages of at most 200 KB, and all of them move', async () => {
  const cluster = await startCluster();
  const [first = '', second = '', third = ''] = holdersOf(cluster);
  for (let index = 0; index < 1_000; index += 1) {
    const answer = { status: 200, headers: [], body: new Uint8Array(700) };
    const message = { ...claimBy(cluster, `attempt-${index}`), digest: `digest-${index}`, answer };
    callHolder(cluster, first, ClaimCall.finish, message);
    callHolder(cluster, second, ClaimCall.finish, message);
  }
  let largest = 0;
  cluster.network.onReply = (reply) => {
    largest = Math.max(largest, serialize(reply).byteLength);
  };
  cluster.stop(third);
  await cluster.keep(keeper);
  assert.ok(largest > 100_000 && largest <= 200_000, `largest message: ${largest} bytes`);
  for (const holder of holdersOf(cluster)) {
    for (let index = 0; index < 1_000; index += 1) {
      const message = claimBy(cluster, 'later', { digest: `digest-${index}` });
      assert.equal(claimAt(cluster, holder, message), 'finished');
    }
  }
});

test('a holder whose memory is used up takes no new claims and keeps its records', async () => {
  const cluster = await startCluster();
  const [first = ''] = holdersOf(cluster);
  const node = cluster.node(first);
  const holder = new ClaimHolder({
    identity: node.process.identity,
    channel: cluster.network.register(node.process),
    clock: node.process.clock,
    retentionMilliseconds: cluster.retention,
    limits: { records: 2, answerBytes: 1_000 },
  });
  const message = { ...claimBy(cluster, 'a'), history: History.first, sources: [] };
  callHolder(cluster, first, ClaimCall.prepare, { ...message, ...node.process.identity });
  await cluster.time.advance(1);
  const answer = { status: 200, headers: [], body: new Uint8Array(600) };
  for (const digest of ['x', 'y']) {
    assert.equal(claimAt(cluster, first, { ...message, digest }), 'granted');
    callHolder(cluster, first, ClaimCall.finish, { ...message, digest, answer });
  }
  assert.equal(claimAt(cluster, first, { ...message, digest: 'z' }), 'full');
  assert.equal(claimAt(cluster, first, claimBy(cluster, 'b', { digest: 'x' })), 'finished');
  const withoutAnswer = claimBy(cluster, 'b', { digest: 'y' });
  assert.deepEqual(callHolder(cluster, first, ClaimCall.claim, withoutAnswer), {
    type: 'finished',
    answer: undefined,
  });
  assert.ok(holder.answerBytes <= 1_000);
  await cluster.time.advance(cluster.retention * 1.5);
  holder.expire();
  assert.equal(holder.recordCount, 0);
  assert.equal(holder.answerBytes, 0);
});

test('holders are different nodes, in three failure domains as soon as there are three', () => {
  for (let domains = 1; domains <= 4; domains += 1) {
    const live = fourDomains(3)
      .slice(0, domains * 3)
      .map((node) => ({ ...node, incarnation: 1 }));
    const uses = new Map<string, number>();
    for (let shard = 0; shard < 64; shard += 1) {
      const holders = chooseHolders(shard, live) ?? [];
      assert.equal(new Set(holders.map((holder) => holder.nodeId)).size, 3);
      assert.equal(countFailureDomains(holders), Math.min(3, domains));
      for (const { nodeId } of holders) uses.set(nodeId, (uses.get(nodeId) ?? 0) + 1);
    }
    assert.equal(uses.size, live.length);
  }
  assert.equal(
    chooseHolders(
      0,
      fourDomains(1)
        .slice(0, 2)
        .map((node) => ({ ...node, incarnation: 1 })),
    ),
    undefined,
  );
});
