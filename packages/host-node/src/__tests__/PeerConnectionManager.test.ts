import { SimulatedClock } from '@hickorybridge/coordination';
import { silentLogger } from '@hickorybridge/logger';
import type { HostDirectory, StoreWatchers } from '@hickorybridge/membership';
import type { PeerPool } from '@hickorybridge/peer-protocol';
import { connectionSubsetSizes, HostSubset, type RegionSet } from '@hickorybridge/routing';
import { fail, succeed, type HostEntry } from '@hickorybridge/types';
import { RandomSource } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it, type TestContext } from 'node:test';

import { PeerConnectionManager } from '../control/PeerConnectionManager.js';

const location = { region: 'r', failureDomain: 'd' };

function createEntry(index: number, region = 'r'): HostEntry {
  return {
    nodeId: `host-${index}`,
    peerAddress: { host: '10.0.0.1', port: 1 },
    location: { ...location, region },
    service: 'desk',
    backendServerId: `b-${index}`,
    slots: 4,
    leaving: false,
  };
}

/** Manages the connections of one node to a fleet in which some hosts cannot be reached. */
function start(t: TestContext, hosts: number, regionSets: readonly RegionSet[] = []) {
  const clock = new SimulatedClock();
  const far = regionSets.length > 0 ? hosts : 0;
  const entries = [
    ...Array.from({ length: hosts }, (_, index) => createEntry(index)),
    ...Array.from({ length: far }, (_, index) => createEntry(hosts + index, 's')),
  ];
  const connected = new Set<string>();
  const unreachable = new Set<string>();
  const state = { opened: 0, checks: 0 };
  const pool = {
    isConnected: (nodeId: string) => connected.has(nodeId),
    open: async (nodeId: string) => {
      state.opened += 1;
      await clock.sleep(500);
      if (unreachable.has(nodeId)) return fail({ type: 'timeout' });
      connected.add(nodeId);
      return succeed(undefined);
    },
  } as unknown as PeerPool;
  const directory = {
    services: () => {
      state.checks += 1;
      return ['desk'];
    },
    ofService: () => entries,
    entry: (nodeId: string) => entries.find((entry) => entry.nodeId === nodeId),
  } as unknown as HostDirectory;
  const manager = new PeerConnectionManager({
    nodeId: 'host-0',
    directory,
    subset: new HostSubset('host-0', location, () => entries),
    regionSetsOf: () => regionSets,
    isEvacuated: () => false,
    watchers: { others: () => [] } as unknown as StoreWatchers,
    quotaBrokers: () => [],
    pool,
    clock,
    random: new RandomSource(2026),
    logger: silentLogger,
  });
  const stop = new AbortController();
  const running = manager.run(stop.signal);
  t.after(async () => {
    stop.abort();
    await clock.advance(10_000);
    await running;
  });
  const countConnected = (region: string) =>
    entries.filter(({ location: at, nodeId }) => at.region === region && connected.has(nodeId))
      .length;
  return { clock, connected, countConnected, manager, state, unreachable };
}

describe('connections with the hosts of a subset', () => {
  it('lost hosts: guards against a subset that shrinks when its hosts cannot be reached', async (t) => {
    const { clock, connected, manager, unreachable } = start(t, 60);
    await clock.advance(2000);
    const before = [...connected];
    assert.equal(before.length, connectionSubsetSizes.ownRegion);
    for (const nodeId of before.slice(0, 4)) {
      connected.delete(nodeId);
      unreachable.add(nodeId);
    }
    manager.wake();
    await clock.advance(5000);
    assert.equal(connected.size, connectionSubsetSizes.ownRegion);
    const [returned = ''] = before;
    unreachable.delete(returned);
    await clock.advance(10_000);
    assert.ok(connected.has(returned), 'a host that came back is not used again');
  });

  it('routes restricted to another region: guards against requests that all go to the two hosts connected there', async (t) => {
    const { ownRegion, otherRegions } = connectionSubsetSizes;
    const { clock, countConnected } = start(t, 60, [['s']]);
    await clock.advance(5000);
    assert.equal(countConnected('r'), ownRegion);
    assert.equal(countConnected('s'), ownRegion + otherRegions);
  });

  it('slow start: guards against further connections while the first ones are being opened', async (t) => {
    const { clock, state } = start(t, 60);
    await clock.advance(5000);
    assert.equal(state.opened, connectionSubsetSizes.ownRegion);
  });

  it('quiet fleet: guards against checks several times a second while all hosts are connected', async (t) => {
    const { clock, state } = start(t, 60);
    await clock.advance(5000);
    const before = state.checks;
    await clock.advance(20_000);
    assert.ok(state.checks - before < 50, `${state.checks - before} checks in 20 s`);
  });
});
