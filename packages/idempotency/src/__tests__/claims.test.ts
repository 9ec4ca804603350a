import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { ClaimOutcome } from '../ClaimClient.js';
import { chooseHolders } from '../chooseHolders.js';
import { deriveClaimKey } from '../claimKey.js';
import { ClaimCall } from '../messages.js';
import { SimulatedCluster, fourDomains } from './SimulatedCluster.js';

const keeper = 'south-1-0';
const answer = { status: 201, headers: ['x', 'y'], body: new Uint8Array([1, 2, 3]) };

async function startCluster(
  options: { retention?: number; confirmationLimit?: number } = {},
): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ seed: 1, nodes: fourDomains(2), ...options });
  cluster.giveLease(keeper);
  await cluster.keep(keeper);
  return cluster;
}

async function claim(
  cluster: SimulatedCluster,
  nodeId: string,
  key: string,
): Promise<ClaimOutcome> {
  return cluster.settle(cluster.claim(nodeId, key));
}

/** Names of the nodes that hold a key, and of one that does not. */
function rolesFor(cluster: SimulatedCluster, key: string): { holders: string[]; router: string } {
  const { shard } = deriveClaimKey('laboratory', key);
  const holders = cluster.shard(shard).holders.map((holder) => holder.nodeId);
  const router = [...cluster.nodes.keys()].find((id) => id !== keeper && !holders.includes(id));
  return { holders, router: router ?? keeper };
}

/** A key that the keeper's node does not hold, so that holders can be killed. */
function keyAwayFromKeeper(cluster: SimulatedCluster): string {
  for (let index = 0; ; index += 1) {
    if (!rolesFor(cluster, `key-${index}`).holders.includes(keeper)) return `key-${index}`;
  }
}

test('two routers that claim a key at the same moment do not both win', async () => {
  const cluster = await startCluster();
  let wins = 0;
  for (let index = 0; index < 50; index += 1) {
    const key = `key-${index}`;
    const outcomes = await cluster.settle(
      Promise.all([cluster.claim(keeper, key), cluster.claim('north-2-1', key)]),
    );
    const granted = outcomes.filter((outcome) => outcome.type === 'granted').length;
    const others = outcomes.filter((outcome) => outcome.type === 'claimed-elsewhere').length;
    assert.ok(granted <= 1);
    assert.equal(granted + others, 2);
    wins += granted;
  }
  // Each of the two may take one holder, but the third decides in favour of one of them.
  assert.ok(wins >= 45, `${wins} of 50 keys were won`);
});

test('an hour later a key gives the stored answer elsewhere, and is free after the retention', async () => {
  const cluster = await startCluster({
    retention: 2 * 3_600_000,
    confirmationLimit: 6 * 3_600_000,
  });
  const first = await claim(cluster, keeper, 'key');
  assert.ok(first.type === 'granted');
  await cluster.settle(first.claim.finished(answer));
  await cluster.time.advance(3_600_000);
  for (const node of cluster.nodes.values()) {
    node.process.wallClockError = 5 * 3_600_000;
    node.holder.expire();
  }
  const second = await claim(cluster, 'north-2-0', 'key');
  assert.deepEqual(second, { type: 'finished', answer });
  const reused = await cluster.settle(cluster.claim('north-2-0', 'key', 'other'));
  assert.equal(reused.type, 'key-reuse');
  await cluster.time.advance(3_700_000);
  assert.equal((await claim(cluster, 'north-2-0', 'key')).type, 'granted');
});

test('a holder paused past the middle of the retention still denies its records', async () => {
  const cluster = await startCluster();
  const { holders, router } = rolesFor(cluster, 'key');
  assert.equal((await claim(cluster, router, 'key')).type, 'granted');
  for (const holder of holders) cluster.node(holder).process.pause(40_000);
  await cluster.time.advance(41_000);
  for (const holder of holders) cluster.node(holder).holder.expire();
  assert.equal((await claim(cluster, router, 'key')).type, 'claimed-elsewhere');
});

test('a released key is free, also when copies of the old claim arrive late', async () => {
  const cluster = await startCluster();
  cluster.network.faults.duplication = 1;
  cluster.network.faults.longestDelay = 400;
  for (let index = 0; index < 20; index += 1) {
    const first = await claim(cluster, keeper, `key-${index}`);
    if (first.type !== 'granted') continue;
    await cluster.settle(first.claim.release());
    await cluster.time.advance(2_000);
    assert.equal((await claim(cluster, 'north-1-1', `key-${index}`)).type, 'granted');
  }
});

test('a restarted holder grants nothing before a new view names its incarnation', async () => {
  const cluster = await startCluster();
  const key = keyAwayFromKeeper(cluster);
  const { holders, router } = rolesFor(cluster, key);
  const [lost = '', , third = ''] = holders;
  cluster.network.cuts.add(`${router}>${third}`);
  assert.equal((await claim(cluster, router, key)).type, 'granted');
  cluster.network.cuts.clear();
  cluster.start(lost);
  cluster.spread();
  // The second holder has the record; without the rule the other two would grant.
  assert.equal((await claim(cluster, lost, key)).type, 'claimed-elsewhere');
  await cluster.keep(keeper);
  assert.ok(cluster.shard(deriveClaimKey('laboratory', key).shard).number > 1);
  assert.equal((await claim(cluster, lost, key)).type, 'claimed-elsewhere');
});

test('with two holders restarted together nothing is granted until the retention has passed', async () => {
  const cluster = await startCluster();
  const key = keyAwayFromKeeper(cluster);
  const { holders, router } = rolesFor(cluster, key);
  const [first = '', second = '', third = ''] = holders;
  cluster.network.cuts.add(`${router}>${third}`);
  assert.equal((await claim(cluster, router, key)).type, 'granted');
  cluster.network.cuts.clear();
  cluster.start(first);
  cluster.start(second);
  await cluster.keep(keeper);
  assert.equal((await claim(cluster, router, key)).type, 'record-unavailable');
  // A grant counted late, at the lost holders' router, may be younger than the loss.
  await cluster.time.advance(60_000);
  assert.equal((await claim(cluster, router, key)).type, 'record-unavailable');
  await cluster.time.advance(15_000);
  assert.equal((await claim(cluster, router, key)).type, 'granted');
  assert.deepEqual(cluster.doubleGrants(), []);
});

test('two holders that are only cut off go on, and their shard is not granted elsewhere', async () => {
  const cluster = await startCluster();
  const key = keyAwayFromKeeper(cluster);
  const { holders } = rolesFor(cluster, key);
  const inside = holders.slice(0, 2);
  const outside = [...cluster.nodes.keys()].filter((id) => !inside.includes(id));
  for (const id of outside) {
    for (const other of inside) {
      cluster.network.cuts.add(`${id}>${other}`);
      cluster.network.cuts.add(`${other}>${id}`);
    }
  }
  for (const id of inside) cluster.live.delete(id);
  await cluster.keep(keeper, 10);
  await cluster.time.advance(120_000);
  await cluster.keep(keeper, 10);
  const router = outside.find((id) => id !== keeper) ?? keeper;
  assert.equal((await claim(cluster, inside[0] ?? '', key)).type, 'granted');
  assert.equal((await claim(cluster, router, key)).type, 'record-unavailable');
  // The frozen view can be read by the holders that are cut off, but no longer confirmed.
  await cluster.time.advance(300_000);
  for (const id of inside) await cluster.settle(cluster.node(id).tasks.refresh());
  // Without any confirmation the holders stop by themselves; later the keeper gives them up.
  await cluster.time.advance(320_000);
  assert.equal((await claim(cluster, inside[0] ?? '', key)).type, 'record-unavailable');
  await cluster.keep(keeper, 30);
  assert.equal((await claim(cluster, router, key)).type, 'record-unavailable');
  await cluster.time.advance(75_000);
  assert.equal((await claim(cluster, router, key)).type, 'granted');
  assert.deepEqual(cluster.doubleGrants(), []);
});

test('a keeper paused between collect and write does not undo what another keeper did', async () => {
  const cluster = await startCluster();
  const key = keyAwayFromKeeper(cluster);
  const { holders, router } = rolesFor(cluster, key);
  const [lost = ''] = holders;
  cluster.stop(lost);
  cluster.store.beforeWrite = async () => {
    cluster.store.beforeWrite = undefined;
    cluster.node(keeper).process.pause(30_000);
    await cluster.node(keeper).process.clock.sleep(1);
  };
  const paused = cluster.node(keeper).keeper.runOnce();
  await cluster.time.advance(500);
  cluster.giveLease(router);
  await cluster.keep(router);
  assert.equal((await claim(cluster, router, key)).type, 'granted');
  const standing = cluster.store.objects.get('claims/view');
  assert.equal((await cluster.settle(paused)).type, 'superseded');
  assert.equal(cluster.store.objects.get('claims/view'), standing);
  assert.equal((await claim(cluster, keeper, key)).type, 'claimed-elsewhere');
});

test('shards that a dead keeper left sealed are repaired by the next', async () => {
  const cluster = await startCluster();
  const key = keyAwayFromKeeper(cluster);
  const { holders, router } = rolesFor(cluster, key);
  assert.equal((await claim(cluster, router, key)).type, 'granted');
  cluster.live.delete(holders[0] ?? '');
  cluster.network.onCall = (name) => {
    if (name === ClaimCall.prepare) cluster.node(keeper).process.isAlive = false;
  };
  cluster
    .node(keeper)
    .keeper.runOnce()
    .catch(() => {});
  await cluster.time.advance(3_000);
  cluster.network.onCall = undefined;
  cluster.live.set(holders[0] ?? '', cluster.node(holders[0] ?? '').process.identity);
  const sealed = await claim(cluster, router, keyInSameShard(cluster, key));
  assert.equal(sealed.type, 'record-unavailable');
  cluster.giveLease(router);
  await cluster.keep(router);
  const other = keyInSameShard(cluster, key);
  assert.equal((await claim(cluster, router, other)).type, 'granted');
  assert.equal((await claim(cluster, router, key)).type, 'claimed-elsewhere');
});

function keyInSameShard(cluster: SimulatedCluster, key: string): string {
  const { shard } = deriveClaimKey('laboratory', key);
  for (let index = 0; ; index += 1) {
    const other = `second-${index}`;
    if (deriveClaimKey('laboratory', other).shard === shard) return other;
  }
}

test('with the store down, shards go on with two of three holders and no view changes', async () => {
  const cluster = await startCluster();
  cluster.store.faults.isDown = true;
  const key = keyAwayFromKeeper(cluster);
  const { holders, router } = rolesFor(cluster, key);
  cluster.stop(holders[0] ?? '');
  await cluster.keep(keeper, 5);
  await cluster.time.advance(300_000);
  assert.equal((await claim(cluster, router, key)).type, 'granted');
  assert.equal((await claim(cluster, keeper, key)).type, 'claimed-elsewhere');
  cluster.store.faults.isDown = false;
  await cluster.keep(keeper);
  assert.equal((await claim(cluster, keeper, key)).type, 'claimed-elsewhere');
});

test('a write whose answer was lost is found in the store and used', async () => {
  const cluster = await startCluster();
  const key = keyAwayFromKeeper(cluster);
  const { holders, router } = rolesFor(cluster, key);
  assert.equal((await claim(cluster, router, key)).type, 'granted');
  cluster.store.faults.lostAnswers = 1;
  cluster.stop(holders[0] ?? '');
  await cluster.keep(keeper, 10);
  assert.equal((await claim(cluster, router, key)).type, 'claimed-elsewhere');
  assert.equal((await claim(cluster, router, keyInSameShard(cluster, key))).type, 'granted');
});

test('with fewer than three nodes there is no view and no grant', async () => {
  const cluster = new SimulatedCluster({ seed: 1, nodes: fourDomains(1).slice(0, 2) });
  cluster.giveLease(keeper);
  await cluster.keep(keeper, 3);
  assert.equal(cluster.storedView(), undefined);
  assert.equal((await claim(cluster, keeper, 'key')).type, 'record-unavailable');
});

test('a first view on one failure domain is spread when others appear', async () => {
  const nodes = fourDomains(3);
  const cluster = new SimulatedCluster({ seed: 1, nodes });
  for (const node of nodes.slice(3)) cluster.live.delete(node.nodeId);
  cluster.giveLease(keeper);
  await cluster.keep(keeper);
  const first = await claim(cluster, keeper, 'key');
  assert.equal(first.type, 'granted');
  for (const node of cluster.nodes.values())
    cluster.live.set(node.process.identity.nodeId, node.process.identity);
  await cluster.keep(keeper, 80);
  const domains = cluster
    .storedView()
    ?.shards.map((shard) => new Set(shard.holders.map((holder) => holder.failureDomain)).size);
  assert.deepEqual(new Set(domains), new Set([3]));
  assert.equal((await claim(cluster, 'north-1-0', 'key')).type, 'claimed-elsewhere');
});

test('a router paused after the first grant does not count a quorum that is too old', async () => {
  const cluster = await startCluster();
  const { router } = rolesFor(cluster, 'key');
  cluster.network.onCall = () => cluster.node(router).process.pause(80_000);
  const late = cluster.claim(router, 'key');
  await cluster.time.advance(75_000);
  cluster.network.onCall = undefined;
  assert.equal((await claim(cluster, keeper, 'key')).type, 'granted');
  assert.notEqual((await cluster.settle(late)).type, 'granted');
});

test('a first view on few nodes moves to the nodes that start later', async () => {
  const nodes = fourDomains(4);
  const cluster = new SimulatedCluster({ seed: 1, nodes });
  for (const node of nodes) if (!node.nodeId.endsWith('-0')) cluster.live.delete(node.nodeId);
  cluster.giveLease(keeper);
  await cluster.keep(keeper);
  assert.equal((await claim(cluster, keeper, 'key')).type, 'granted');
  for (const { process } of cluster.nodes.values()) {
    cluster.live.set(process.identity.nodeId, process.identity);
  }
  await cluster.keep(keeper, 80);
  const uses = new Map<string, number>();
  for (const { nodeId } of cluster.storedView()?.shards.flatMap((shard) => shard.holders) ?? []) {
    uses.set(nodeId, (uses.get(nodeId) ?? 0) + 1);
  }
  assert.ok(
    Math.max(...uses.values()) <= 25,
    `most shards at one node: ${Math.max(...uses.values())}`,
  );
  assert.equal((await claim(cluster, 'north-1-0', 'key')).type, 'claimed-elsewhere');
});

test('a shard is not sealed for a node that does not answer the keeper', async () => {
  const cluster = await startCluster();
  const key = keyAwayFromKeeper(cluster);
  const { holders, router } = rolesFor(cluster, key);
  cluster.stop(holders[0] ?? '');
  const { shard } = deriveClaimKey('laboratory', key);
  const kept = cluster.shard(shard).holders.slice(1);
  const preferred = chooseHolders(shard, [...cluster.live.values()], kept)?.at(-1)?.nodeId ?? '';
  cluster.network.cuts.add(`${keeper}>${preferred}`);
  await cluster.keep(keeper, 10);
  assert.equal(cluster.shard(shard).number, 2);
  assert.ok(!rolesFor(cluster, key).holders.includes(preferred));
  assert.equal((await claim(cluster, router, key)).type, 'granted');
});
