import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { FairShares } from '../FairShares.js';
import { RefusalMeter } from '../RefusalMeter.js';
import { ServiceRatios } from '../ServiceRatios.js';
import { overloadPatterns } from './overloadPatterns.js';
import { simulateLoad, type LoadSource, type SourceResult } from './simulateLoad.js';

const milliseconds = 12_000;
/** No tenant and no kind may be served less often than this fraction of all requests. */
const minimumFraction = 0.25;

function servedShare(results: readonly SourceResult[]): number {
  const sum = (key: keyof SourceResult) => results.reduce((total, each) => total + each[key], 0);
  return sum('served') / sum('sent');
}

/** Runs a pattern; returns the served share of all requests and of tenants by prefix of the name. */
async function runPattern(sources: readonly LoadSource[], seed = 1) {
  const results = await simulateLoad({ sources, milliseconds, seed });
  const shareOf = (prefix: string) =>
    servedShare(results.filter((_, index) => sources[index]?.tenant?.startsWith(prefix)));
  return { all: servedShare(results), shareOf, results };
}

describe('fair shares under overload', () => {
  it('one tenant at 8 times its rate: guards against others that are refused in its place', async () => {
    const { all, shareOf } = await runPattern(overloadPatterns.oneHot);
    assert.ok(shareOf('small') > 0.75, `small ${shareOf('small')}`);
    assert.ok(shareOf('large') > all, `large ${shareOf('large')}`);
    assert.ok(shareOf('hot') >= minimumFraction * all, `hot ${shareOf('hot')}`);
  });

  it('two hot tenants at once: guards against a small tenant that starves beside them', async () => {
    const { shareOf } = await runPattern(overloadPatterns.twoHot);
    assert.ok(shareOf('small') > 0.95, `small ${shareOf('small')}`);
    assert.ok(Math.abs(shareOf('hot first') - shareOf('hot second')) < 0.05);
  });

  it('hot tenant of the highest priority: guards against less urgent tenants that it crowds out', async () => {
    const { shareOf } = await runPattern(overloadPatterns.hotPriority);
    assert.ok(shareOf('small') > 0.75, `small ${shareOf('small')}`);
    assert.ok(shareOf('middle') > shareOf('hot'), `middle ${shareOf('middle')}`);
  });

  it('deep overload: guards against large tenants that small ones leave nothing', async () => {
    const { all, shareOf } = await runPattern(overloadPatterns.deepOverload);
    assert.ok(shareOf('large') >= minimumFraction * all, `large ${shareOf('large')}`);
  });

  it('no overload: guards against accounts that keep a busy tenant from free slots', async () => {
    const sources = overloadPatterns.oneHot.map((source) => ({
      ...source,
      requestsPerSecond: source.requestsPerSecond / 6,
    }));
    const { shareOf } = await runPattern(sources);
    assert.ok(shareOf('hot') > 0.98, `hot ${shareOf('hot')}`);
    assert.ok(Math.abs(shareOf('hot') - shareOf('small')) < 0.02);
  });

  it('callers that repeat at once: guards against a tenant that gains by asking more often', async () => {
    const source = {
      kind: 'read',
      weight: 1,
      requestsPerSecond: 105,
      targetMilliseconds: 500,
      timeoutMilliseconds: 2000,
      workMilliseconds: 30,
    };
    const giveUpBelowMilliseconds = 60;
    /** Repeats a request after a share of its remaining time, which is at most a third. */
    const repeatAfter = (share: number) => (remaining: number) =>
      remaining < giveUpBelowMilliseconds ? Infinity : Math.max(16, remaining * share);
    const results = await simulateLoad({
      seed: 1,
      milliseconds: 6000,
      sources: [
        { ...source, tenant: 'as told', retryDelay: repeatAfter(1 / 4) },
        { ...source, tenant: 'at once', retryDelay: repeatAfter(0) },
      ],
    });
    const [asTold, atOnce] = results;
    assert.ok(asTold !== undefined && atOnce !== undefined);
    assert.ok(atOnce.served / atOnce.sent < asTold.served / asTold.sent + 0.05);
    // Ranked by the time that is left, repeated requests went before new ones and were late.
    assert.ok(asTold.inTime > 0.6 * asTold.served, `${asTold.inTime} of ${asTold.served} in time`);
  });

  it('10,000 tenants: guards against accounts whose memory grows with the number of tenants', () => {
    const shares = new FairShares(100);
    const ratios = new ServiceRatios();
    for (let index = 0; index < 10_000; index += 1) {
      shares.charge(`tenant ${index}`, 50);
      ratios.record(`tenant ${index}`, true, index);
    }
    assert.ok(shares.size <= 2048);
    assert.ok(ratios.size <= 2048);
  });

  it('one tenant refused most: guards against an operator who cannot see who was held back', () => {
    const meter = new RefusalMeter();
    const request = { kind: 'read', weight: 1, depth: 0, deadline: 1000 };
    const { signal } = new AbortController();
    for (const tenant of ['small', 'hot', 'hot', undefined]) {
      meter.record({ ...request, signal, tenant, tenantPriority: tenant === 'hot' ? 0 : 2 });
    }
    const { mostRefusals, mostRefusedTenant, refusalsByPriority } = meter.takeSummary();
    assert.deepEqual([mostRefusedTenant, mostRefusals], ['hot', 2]);
    assert.deepEqual(
      [...refusalsByPriority],
      [
        [2, 1],
        [0, 2],
      ],
    );
    assert.equal(meter.takeSummary().mostRefusals, 0);
  });

  it('idle tenant: guards against credit or debt from a time in which others worked', () => {
    const shares = new FairShares(100);
    shares.charge('busy', 1000);
    assert.equal(shares.roundOf('busy'), 10);
    assert.equal(shares.roundOf('new'), 0);
    shares.advanceTo(15);
    assert.equal(shares.roundOf('busy'), 15);
    assert.equal(shares.roundOf('new'), 15);
  });
});
