import { LinkRelay } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { createConfiguration, startFleet, waitUntil } from './fleet.js';

describe('configurations', () => {
  // Guards against the failure CONFIG: a confirmed change is not in force in time.
  it('guards against a configuration that a node misses while it cannot reach the store', async (t) => {
    const relay = new LinkRelay({
      regions: ['store', 'apart'],
      settings: { delayMilliseconds: 0, megabitsPerSecond: 0 },
    });
    t.after(() => relay[Symbol.asyncDispose]());
    const { members, store } = await startFleet(t, ['one', 'two', 'three'], (name, address) =>
      name === 'three'
        ? relay.addRoute({ target: address, region: 'store', from: 'apart' })
        : address,
    );
    relay.setCut(true);
    store.put('config', 'main', createConfiguration(2));
    const sentAt = performance.now();
    await waitUntil(() => members.every(({ node }) => node.configurationVersion === 2));
    const milliseconds = performance.now() - sentAt;
    const bound = members[0]?.settings.bounds.configurationMilliseconds ?? 0;
    assert.ok(milliseconds < bound, `in force after ${Math.round(milliseconds)} ms`);
  });

  // Guards against the failure CONFIG: a watch waits on a connection that has gone silent.
  it('silent connections: guards against a configuration that is in force too late', async (t) => {
    const { members, store } = await startFleet(t, ['one', 'two', 'three']);
    store.faults.staleMilliseconds = 4000;
    store.silenceConnections();
    await sleep(5000);
    store.put('config', 'main', createConfiguration(2));
    const sentAt = performance.now();
    await waitUntil(() => members.every(({ node }) => node.configurationVersion === 2));
    const milliseconds = performance.now() - sentAt;
    const bound = members[0]?.settings.bounds.configurationMilliseconds ?? 0;
    assert.ok(milliseconds < bound, `in force after ${Math.round(milliseconds)} ms`);
  });

  // Guards against the failure CONFIG: an older version replaces the one in force.
  it('guards against an older configuration from a peer that missed a newer one', async (t) => {
    const relay = new LinkRelay({
      regions: ['store', 'apart'],
      settings: { delayMilliseconds: 0, megabitsPerSecond: 0 },
    });
    t.after(() => relay[Symbol.asyncDispose]());
    const { members, store } = await startFleet(t, ['one', 'two'], (name, address) =>
      name === 'two'
        ? relay.addRoute({ target: address, region: 'store', from: 'apart' })
        : address,
    );
    relay.setCut(true);
    for (let version = 2; version <= 6; version += 1) {
      store.put('config', 'main', createConfiguration(version));
      await waitUntil(() => members[0]?.node.configurationVersion === version);
    }
    relay.setCut(false);
    const lowest: number[] = [];
    for (let index = 0; index < 20; index += 1) {
      lowest.push(Math.min(...members.map(({ node }) => node.configurationVersion)));
      await sleep(50);
    }
    assert.deepEqual(
      lowest,
      [...lowest].sort((first, second) => first - second),
    );
    assert.equal(lowest.at(-1), 6);
  });

  it('growing fleet: guards against a store call of each node that only few nodes need to make', async (t) => {
    const names = ['one', 'two', 'three', 'four', 'five', 'six', 'seven', 'eight'];
    const { members, store } = await startFleet(t, names);
    await sleep(1500);
    const before = store.currentWatches;
    await sleep(3000);
    // Three nodes follow the store; their watches wait for longer than this test.
    assert.ok(before <= 5, `${before} watches after the start of ${members.length} nodes`);
    assert.equal(store.currentWatches, before);
  });
});
