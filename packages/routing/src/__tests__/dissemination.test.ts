import { Distance, distanceBetween, type HostEntry, type LoadReport } from '@hickorybridge/types';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { choiceSizes, connectionSizes, HostSubset } from '../HostSubset.js';
import { LoadUpdates } from '../LoadUpdates.js';

const regions = ['north', 'south'];
const domainsOfRegion = 3;

function fleetOf(size: number): HostEntry[] {
  return Array.from({ length: size }, (_, index) => ({
    nodeId: `host-${index}`,
    peerAddress: { host: '10.0.0.1', port: 1 },
    location: {
      region: regions[index % 2] ?? '',
      failureDomain: `${regions[index % 2]}-${Math.floor(index / 2) % domainsOfRegion}`,
    },
    service: 's',
    backendServerId: `b-${index}`,
    slots: 4,
    leaving: false,
  }));
}

function subsetOf({ nodeId, location }: HostEntry, hosts: readonly HostEntry[]): HostSubset {
  return new HostSubset(nodeId, location, () => hosts);
}

function report(changes: Partial<LoadReport>): LoadReport {
  return {
    limit: 4,
    inFlight: 0,
    queued: 0,
    serviceMilliseconds: 50,
    rampShare: 1,
    workFactor: 1,
    ...changes,
  };
}

/** Counts the updates of one second in which the load changes every 10 ms. */
function updatesOfOneSecond(users: number, loadAt: (step: number) => LoadReport): number {
  const updates = new LoadUpdates();
  let count = 0;
  for (let step = 0; step < 100; step += 1) {
    if (updates.take(loadAt(step), users, step * 10)) count += users;
  }
  return count;
}

describe('hosts that a node uses', () => {
  it('growing fleet: guards against connections that grow with the number of hosts', () => {
    for (const size of [40, 640]) {
      const entries = fleetOf(size);
      const [self] = entries;
      assert.ok(self !== undefined);
      const taken = subsetOf(self, entries).take('s', entries, connectionSizes, () => true);
      assert.equal(taken.length, connectionSizes.ownRegion + connectionSizes.otherRegions);
    }
  });

  it('guards against hosts that hardly any node uses while others are used by most', () => {
    const entries = fleetOf(120);
    const uses = new Map<string, number>();
    for (const self of entries) {
      for (const { nodeId } of subsetOf(self, entries).take(
        's',
        entries,
        choiceSizes,
        () => true,
      )) {
        uses.set(nodeId, (uses.get(nodeId) ?? 0) + 1);
      }
    }
    const mean = choiceSizes.ownRegion + choiceSizes.otherRegions;
    for (const { nodeId } of entries) {
      const used = uses.get(nodeId) ?? 0;
      assert.ok(used > mean / 3 && used < mean * 2.5, `${nodeId} is used by ${used} nodes`);
    }
  });

  it('lost hosts: guards against a subset that shrinks when its hosts are gone', () => {
    const entries = fleetOf(60);
    const [self] = entries;
    assert.ok(self !== undefined);
    const subset = subsetOf(self, entries);
    const before = new Set(
      subset.take('s', entries, choiceSizes, () => true).map(({ nodeId }) => nodeId),
    );
    const after = subset.take('s', entries, choiceSizes, ({ nodeId }) => !before.has(nodeId));
    assert.equal(after.length, before.size);
    const near = after.filter(
      ({ location }) => distanceBetween(self.location, location) !== Distance.otherRegion,
    );
    assert.equal(near.length, choiceSizes.ownRegion);
  });

  it('guards against hosts that are left out of a fleet smaller than the subset', () => {
    const entries = fleetOf(4);
    const [self] = entries;
    assert.ok(self !== undefined);
    assert.equal(subsetOf(self, entries).take('s', entries, choiceSizes, () => true).length, 4);
  });
});

describe('updates of a load', () => {
  it('guards against updates that change no choice: a slot more or less while some are free', () => {
    const count = updatesOfOneSecond(10, (step) => report({ inFlight: step % 3 }));
    assert.equal(count, 0);
  });

  it('stale-report herding: tells that a host is full, and that it has room again', () => {
    const updates = new LoadUpdates();
    assert.equal(updates.take(report({ inFlight: 4 }), 4, 0), true);
    assert.equal(updates.take(report({ inFlight: 2 }), 4, 200), true);
  });

  it('slow spell: tells that a host has become slow', () => {
    const updates = new LoadUpdates();
    assert.equal(updates.take(report({ workFactor: 5 }), 4, 0), true);
    assert.equal(updates.take(report({ workFactor: 4.8 }), 4, 200), false);
  });

  it('growing fleet: guards against control traffic that grows with the number of users', () => {
    for (const users of [5, 30, 300]) {
      const count = updatesOfOneSecond(users, (step) => report({ inFlight: 4, queued: step }));
      // One more update than the rate allows may come at the start.
      assert.ok(count <= 60 + users, `${count} updates to ${users} users`);
    }
  });
});
