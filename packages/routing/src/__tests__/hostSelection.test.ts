import { Distance, type HostEntry, type LoadReport } from '@hickorybridge/types';
import { HostSpeedModel, RandomSource } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { HostLoad } from '../HostLoad.js';
import { HostSelector, type HostCandidate } from '../HostSelector.js';
import { computeRetryAfter } from '../returnAdvice.js';
import { RouteTable } from '../RouteTable.js';
import { WeightedSplit } from '../WeightedSplit.js';

const seed = 2026;

function candidate(
  nodeId: string,
  distance: Distance,
  report: Partial<LoadReport> = {},
): HostCandidate {
  const entry: HostEntry = {
    nodeId,
    peerAddress: { host: '10.0.0.1', port: 1 },
    location: { region: 'r', failureDomain: 'd' },
    service: 's',
    backendServerId: `b-${nodeId}`,
    slots: 4,
    leaving: false,
  };
  const load = new HostLoad();
  const usual = { limit: 4, inFlight: 0, queued: 0, serviceMilliseconds: 50, rampShare: 1 };
  load.recordReport({ ...usual, workFactor: 1, ...report }, 0);
  const roundTrips = [0.5, 2, 60];
  return { entry, distance, load, roundTripMilliseconds: roundTrips[distance] ?? 0 };
}

function countChoices(candidates: readonly HostCandidate[], usefulUntil = 300) {
  const selector = new HostSelector(new RandomSource(seed));
  const speed = new HostSpeedModel();
  const counts = new Map<string, number>();
  for (let index = 0; index < 200; index += 1) {
    const request = { now: 0, usefulUntil, workMilliseconds: 50, speed };
    const chosen = selector.select(candidates, request)?.entry.nodeId ?? 'none';
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
  }
  return counts;
}

const { sameFailureDomain, sameRegion, otherRegion } = Distance;

describe('choice of a host', () => {
  it('guards against traffic over the link while near hosts are in time', () => {
    const counts = countChoices([
      candidate('near', sameFailureDomain),
      candidate('region', sameRegion),
      candidate('far', otherRegion),
    ]);
    assert.equal(counts.get('near'), 200);
  });

  it('slow spell: guards against requests that go to a slow host beside a quick one', () => {
    const counts = countChoices([
      candidate('near', sameFailureDomain, { workFactor: 5 }),
      candidate('region', sameRegion),
    ]);
    assert.equal(counts.get('region'), 200);
  });

  it('overload: guards against a full near host while a far one is idle', () => {
    const counts = countChoices([
      candidate('near', sameFailureDomain, { inFlight: 4, queued: 30 }),
      candidate('far', otherRegion),
    ]);
    assert.equal(counts.get('far'), 200);
  });

  it('straggler: guards against a host whose requests take several times as long', () => {
    const counts = countChoices([
      candidate('slow', sameRegion, { slowness: 4 }),
      candidate('usual', sameRegion),
      candidate('other', sameRegion),
    ]);
    assert.equal(counts.get('slow') ?? 0, 0);
  });

  it('grey failure: guards against a host that answers quickly with errors', () => {
    const failing = candidate('failing', sameFailureDomain);
    for (let index = 0; index < 10; index += 1) failing.load.recordOutcome(true, 0);
    const counts = countChoices([failing, candidate('sound', sameRegion)]);
    assert.equal(counts.get('failing') ?? 0, 0);
  });

  it('stale-report herding: guards against all requests on one of several equal hosts', () => {
    const hosts = ['a', 'b', 'c', 'd'].map((name) => candidate(name, sameRegion));
    const counts = countChoices(hosts);
    for (const name of ['a', 'b', 'c', 'd']) assert.ok((counts.get(name) ?? 0) > 20, name);
  });

  it('guards against a queue that is taken for long after its report', () => {
    const { load } = candidate('a', sameRegion, { inFlight: 4, queued: 8 });
    const speed = new HostSpeedModel();
    assert.ok(load.expectedWait(speed, 0) > 100);
    assert.equal(load.expectedWait(speed, 1000), 0);
  });
});

describe('return of refused callers', () => {
  it('thundering herd: guards against callers that return together or too late', () => {
    const random = new RandomSource(seed);
    const times = Array.from({ length: 200 }, () =>
      computeRetryAfter({ waitMilliseconds: 400, remainingMilliseconds: 2400, random }),
    );
    assert.ok(Math.max(...times) <= 400);
    assert.ok(Math.max(...times) - Math.min(...times) > 150);
    const short = computeRetryAfter({ waitMilliseconds: 5000, remainingMilliseconds: 300, random });
    assert.ok(short <= 100);
  });
});

describe('routes', () => {
  const route = (name: string, pathPrefix: string) => ({
    name,
    host: 'a.example',
    pathPrefix,
    idempotent: true,
    timeoutMilliseconds: 1000,
    targetMilliseconds: 500,
    priority: 0,
    maxAttempts: 2,
    services: [{ service: 's', weight: 1 }],
  });

  it('guards against a shorter prefix that hides a longer one', () => {
    const table = new RouteTable([
      route('all', '/'),
      route('long', '/a/b/'),
      route('short', '/a/'),
    ]);
    assert.equal(table.find('A.example', '/a/b/c')?.name, 'long');
    assert.equal(table.find('a.example', '/a/c?x=/a/b/')?.name, 'short');
    assert.equal(table.find('a.example', '/z')?.name, 'all');
    assert.equal(table.find('b.example', '/a/'), undefined);
  });

  it('guards against shares that differ from the weights', () => {
    const shares = [
      { service: 'large', weight: 90 },
      { service: 'small', weight: 10 },
    ];
    const split = new WeightedSplit(shares, new RandomSource(seed));
    const chosen = Array.from({ length: 100 }, () => split.next());
    const small = chosen.filter((service) => service === 'small').length;
    assert.ok(small >= 9 && small <= 11, String(small));
  });
});
