import assert from 'node:assert/strict';
import { test } from 'node:test';

import { SimulatedCluster, fourDomains } from './SimulatedCluster.js';

async function startCluster(nodesPerDomain = 2, retention = 60_000): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster({ seed: 1, nodes: fourDomains(nodesPerDomain), retention });
  cluster.giveLease('south-1-0');
  await cluster.keep('south-1-0');
  return cluster;
}

const answer = { status: 201, headers: ['x', 'y'], body: new Uint8Array([1, 2, 3]) };

test('two routers that claim a key at the same moment do not both win', async () => {
  const cluster = await startCluster();
  for (let index = 0; index < 50; index += 1) {
    const outcomes = await cluster.settle(
      Promise.all([
        cluster.claim('south-1-0', `key-${index}`),
        cluster.claim('north-2-1', `key-${index}`),
      ]),
    );
    const granted = outcomes.filter((outcome) => outcome.type === 'granted');
    assert.ok(granted.length <= 1);
    const others = outcomes.filter((outcome) => outcome.type === 'claimed-elsewhere');
    assert.equal(granted.length + others.length, 2);
  }
});

test('a finished key gives the stored answer at another router, until the retention passes', async () => {
  const cluster = await startCluster();
  const first = await cluster.settle(cluster.claim('south-1-0', 'key'));
  assert.equal(first.type, 'granted');
  if (first.type === 'granted') await cluster.settle(first.claim.finished(answer));
  const second = await cluster.settle(cluster.claim('north-2-0', 'key'));
  assert.equal(second.type, 'finished');
  const reused = await cluster.settle(cluster.claim('north-2-0', 'key', 'other'));
  assert.equal(reused.type, 'key-reuse');
  await cluster.time.advance(60_000);
  assert.equal((await cluster.settle(cluster.claim('north-2-0', 'key'))).type, 'granted');
});
