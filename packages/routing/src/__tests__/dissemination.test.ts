import { Distance, distanceBetween, type HostEntry } from '@hickorybridge/types';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { requestSubsetSizes, connectionSizes, HostSubset } from '../HostSubset.js';

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

describe('hosts that a node uses', () => {
  it('growing fleet: guards against connections that grow with the number of hosts', () => {
    for (const size of [40, 640]) {
      const entries = fleetOf(size);
      const [self] = entries;
      assert.ok(self !== undefined);
      const taken = subsetOf(self, entries).select('s', entries, connectionSizes, () => true);
      assert.equal(taken.length, connectionSizes.ownRegion + connectionSizes.otherRegions);
    }
  });

  it('guards against hosts that hardly any node uses while others are used by most', () => {
    const entries = fleetOf(120);
    const uses = new Map<string, number>();
    for (const self of entries) {
      for (const { nodeId } of subsetOf(self, entries).select(
        's',
        entries,
        requestSubsetSizes,
        () => true,
      )) {
        uses.set(nodeId, (uses.get(nodeId) ?? 0) + 1);
      }
    }
    const mean = requestSubsetSizes.ownRegion + requestSubsetSizes.otherRegions;
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
      subset.select('s', entries, requestSubsetSizes, () => true).map(({ nodeId }) => nodeId),
    );
    const after = subset.select(
      's',
      entries,
      requestSubsetSizes,
      ({ nodeId }) => !before.has(nodeId),
    );
    assert.equal(after.length, before.size);
    const near = after.filter(
      ({ location }) => distanceBetween(self.location, location) !== Distance.otherRegion,
    );
    assert.equal(near.length, requestSubsetSizes.ownRegion);
  });

  it('guards against hosts that are left out of a fleet smaller than the subset', () => {
    const entries = fleetOf(4);
    const [self] = entries;
    assert.ok(self !== undefined);
    assert.equal(
      subsetOf(self, entries).select('s', entries, requestSubsetSizes, () => true).length,
      4,
    );
  });
});
