import type { QuotaBounds, Tenant } from '@hickorybridge/types';
import { RandomSource } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';

import {
  chooseBrokers,
  quotaBound,
  quotaRates,
  tokenLifetimeMilliseconds,
  type BrokerHost,
} from '../index.js';
import { host, SimulatedQuotas } from './SimulatedQuotas.js';

const bounds: QuotaBounds = { windowMilliseconds: 5000, overShare: 0.1, slack: 20 };

function tenant(requestsPerSecond: number, burst: number, name = 'acme'): Tenant {
  return { name, requestsPerSecond, burst };
}

const sixHosts = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3'].map(host);

describe('quota rates', () => {
  it('guards against buckets that exceed the bound in a window and the lifetime of a token', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0.1, max: 1000, noNaN: true }),
        fc.double({ min: 0, max: 1000, noNaN: true }),
        fc.double({ min: 0, max: 50, noNaN: true }),
        (requestsPerSecond, burst, slack) => {
          const limit = { requestsPerSecond, burst };
          const { capacity, tokensPerSecond } = quotaRates(limit, { ...bounds, slack });
          const span = (bounds.windowMilliseconds + tokenLifetimeMilliseconds) / 1000;
          const total = capacity + tokensPerSecond * span;
          assert.ok(total <= quotaBound(limit, { ...bounds, slack }) * (1 + 1e-9));
          assert.ok(capacity >= 0 && tokensPerSecond >= 0);
        },
      ),
      { seed: 1 },
    );
  });
});

describe('chooseBrokers', () => {
  it('guards against shares of less than a token, and against brokers in one region only', () => {
    for (let index = 0; index < 50; index += 1) {
      const chosen = chooseBrokers(`t${index}`, sixHosts, 6);
      assert.deepEqual(new Set(chosen.map(({ region }) => region)), new Set(['a', 'b']));
      assert.equal(chosen.length, 2);
    }
    assert.equal(chooseBrokers('t', sixHosts, 100).length, 6);
  });

  it('guards against more brokers than counted when two of them see different lists', () => {
    const hostName = fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.integer({ min: 0, max: 9 }));
    fc.assert(
      fc.property(
        fc.uniqueArray(hostName, { selector: (parts) => parts.join(''), maxLength: 12 }),
        fc.uniqueArray(hostName, { selector: (parts) => parts.join(''), maxLength: 4 }),
        fc.integer({ min: 0, max: 40 }),
        (acting, held, capacity) => {
          const toHosts = (names: [string, number][]) => names.map((parts) => host(parts.join('')));
          const isNew = ({ nodeId }: BrokerHost) =>
            !acting.some((parts) => parts.join('') === nodeId);
          const more = [...toHosts(acting), ...toHosts(held).filter(isNew)];
          const counted = chooseBrokers('t', more, capacity);
          const fewer = new Set(chooseBrokers('t', toHosts(acting), capacity).map(nodeIdOf));
          const stillActing = counted.filter(({ nodeId }) =>
            acting.some((parts) => parts.join('') === nodeId),
          );
          for (const { nodeId } of stillActing) assert.ok(fewer.has(nodeId));
        },
      ),
      { seed: 2 },
    );
  });
});

function nodeIdOf({ nodeId }: BrokerHost): string {
  return nodeId;
}

describe('quotas', () => {
  for (const [rate, burst] of [
    [1, 0],
    [1, 2],
    [10, 10],
    [40, 0],
    [170, 170],
  ] as const) {
    for (const place of ['one node', 'one region', 'all nodes']) {
      it(`guards against refusals at 0.6 of a limit of ${rate} + ${burst}, from ${place}`, async () => {
        const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4', 'a5', 'b4']);
        await fleet.clock.advance(20_000);
        const nodes = { 'one node': ['a4'], 'one region': ['a1', 'a4', 'a5'] }[place];
        const random = new RandomSource(7);
        await fleet.sendRandomly(nodes ?? fleet.nodeIds, tenant(rate, burst), {
          perSecond: rate * 0.6,
          seconds: rate > 100 ? 10 : 40,
          random,
        });
        assert.equal(fleet.refused.length, 0);
        assert.ok(fleet.highestInWindow() <= quotaBound(tenant(rate, burst), bounds));
      });
    }
  }

  it('guards against one message for each request of a busy tenant', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4']);
    await fleet.clock.advance(20_000);
    const random = new RandomSource(7);
    await fleet.sendRandomly(['a4'], tenant(170, 170), { perSecond: 70, seconds: 10, random });
    const counts = fleet.countsOf('a4');
    assert.ok(counts.calls <= 70, `${counts.calls} calls`);
    assert.ok(counts.unused < counts.granted * 0.2, `${counts.unused} unused`);
  });

  it('guards against requests that wait for a message although tokens are at hand', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4']);
    await fleet.clock.advance(20_000);
    const random = new RandomSource(7);
    await fleet.sendRandomly(['a4'], tenant(170, 170), { perSecond: 70, seconds: 10, random });
    assert.ok(fleet.waited < 40, `${fleet.waited} of 700 waited`);
  });

  it('guards against a broker that answers nothing and delays every request', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4']);
    await fleet.clock.advance(20_000);
    fleet.setPartition((from, to) => from === 'a1' || to === 'a1');
    const random = new RandomSource(7);
    await fleet.sendRandomly(['a4'], tenant(20, 20), { perSecond: 12, seconds: 10, random });
    assert.equal(fleet.refused.length, 0);
  });

  it('guards against tokens of requests that did not run, which would be lost', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4']);
    await fleet.clock.advance(20_000);
    for (let count = 0; count < 600; count += 1) {
      fleet.send('a4', tenant(10, 10), { runs: count % 4 === 0 });
      await fleet.clock.advance(50);
    }
    assert.equal(fleet.refused.length, 0);
  });

  it('guards against a refusal that costs a message each', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4']);
    await fleet.clock.advance(20_000);
    const random = new RandomSource(7);
    await fleet.sendRandomly(['a4'], tenant(1, 0), { perSecond: 400, seconds: 10, random });
    assert.ok(fleet.refused.length > 3000);
    assert.ok(fleet.countsOf('a4').calls < 300, `${fleet.countsOf('a4').calls} calls`);
  });

  it('guards against memory that grows with the tenants of the past', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4']);
    await fleet.clock.advance(20_000);
    for (let index = 0; index < 3000; index += 1) {
      fleet.send('a4', tenant(10, 10, `t${index}`));
      await fleet.clock.advance(20);
    }
    assert.ok(fleet.sizeOf('a4') <= 1200, `${fleet.sizeOf('a4')} tenants`);
    assert.ok(fleet.brokeredTenantsOf('a1') <= 300, `${fleet.brokeredTenantsOf('a1')} buckets`);
  });

  it('guards against tokens of two lives of a broker that add up', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4', 'b4']);
    const load = { perSecond: 200, random: new RandomSource(9) };
    await fleet.clock.advance(20_000);
    await fleet.sendRandomly(fleet.nodeIds, tenant(8, 30), { ...load, seconds: 1 });
    fleet.apply({ type: 'restart-all' });
    await fleet.sendRandomly(fleet.nodeIds, tenant(8, 30), { ...load, seconds: 8 });
    fleet.assertBound();
  });

  it('outage of all nodes: guards against refusals for seconds after their restart', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4', 'b4']);
    await fleet.clock.advance(20_000);
    fleet.apply({ type: 'restart-all' });
    await fleet.clock.advance(500);
    const load = { perSecond: 60, seconds: 3, random: new RandomSource(9) };
    await fleet.sendRandomly(fleet.nodeIds, tenant(170, 170), load);
    assert.ok(fleet.refused.length < 10, `${fleet.refused.length} of 180 refused`);
  });

  it('guards against a limit that counts twice when each side of a cut has its own list', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4', 'b4']);
    await fleet.clock.advance(20_000);
    fleet.apply({ type: 'unlist-region' });
    await fleet.clock.advance(60_000);
    const load = { perSecond: 200, seconds: 8, random: new RandomSource(9) };
    await fleet.sendRandomly(fleet.nodeIds, tenant(8, 30), load);
    fleet.assertBound();
  });

  it('guards against tokens that a node that is cut off spends long after they were granted', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4']);
    await fleet.clock.advance(20_000);
    const load = { perSecond: 70, seconds: 2, random: new RandomSource(9) };
    await fleet.sendRandomly(['a4'], tenant(170, 170), load);
    fleet.setPartition(() => true);
    await fleet.clock.advance(tokenLifetimeMilliseconds);
    const before = fleet.runs.length;
    await fleet.sendRandomly(['a4'], tenant(170, 170), load);
    assert.equal(fleet.runs.length, before);
  });

  it('guards against tokens that outlive a lowered limit', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4']);
    await fleet.clock.advance(20_000);
    fleet.setLimit(tenant(20, 100));
    const load = { perSecond: 200, random: new RandomSource(9) };
    await fleet.sendRandomly(['a4'], tenant(20, 100), { ...load, seconds: 0.2 });
    fleet.setLimit(tenant(1, 0));
    await fleet.sendRandomly(['a4'], tenant(1, 0), { ...load, seconds: 12 });
    fleet.assertBound();
  });

  it('guards against a returned token of an earlier limit that is spent under the new one', async () => {
    const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4']);
    await fleet.clock.advance(20_000);
    fleet.send('a4', tenant(20, 100), { runs: false, milliseconds: 100 });
    await fleet.clock.advance(50);
    fleet.setPartition(() => true);
    fleet.send('a4', tenant(1, 0));
    await fleet.clock.advance(400);
    assert.equal(fleet.countsOf('a4').returned, 0);
    assert.equal(fleet.runs.length, 0);
  });

  it('guards against more requests than the bound, whatever happens to hosts and links', async () => {
    const names = fc.constantFrom('a1', 'a2', 'a3', 'b1', 'b2', 'b3', 'a4', 'b4');
    const step = fc.oneof(
      fc.record({ type: fc.constant('restart' as const), node: names }),
      fc.record({ type: fc.constant('stop' as const), node: names }),
      fc.record({ type: fc.constant('cut' as const) }),
      fc.record({ type: fc.constant('restart-all' as const) }),
      fc.record({ type: fc.constant('idle' as const) }),
      fc.record({ type: fc.constant('unlist-region' as const) }),
      fc.record({ type: fc.constant('heal' as const) }),
      fc.record({ type: fc.constant('pause' as const), node: names }),
      fc.record({ type: fc.constant('replace' as const), node: names }),
      fc.record({ type: fc.constant('late-list' as const), node: names }),
      fc.record({ type: fc.constant('limit' as const), index: fc.integer({ min: 0, max: 2 }) }),
    );
    const limits = [tenant(1, 0), tenant(8, 4), tenant(20, 30)];
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.tuple(step, fc.integer({ min: 100, max: 6000 })), { maxLength: 8 }),
        fc.integer({ min: 0, max: 2 }),
        fc.integer({ min: 0, max: 1000 }),
        async (steps, first, seed) => {
          const fleet = new SimulatedQuotas(bounds, sixHosts, ['a4', 'b4']);
          const random = new RandomSource(seed);
          await fleet.clock.advance(random.integerBelow(20_000));
          let limit = limits[first] ?? tenant(1, 0);
          fleet.setLimit(limit);
          const flood = async (seconds: number) => {
            const load = { perSecond: 150, seconds, random, notRunShare: 0.2 };
            await fleet.sendRandomly(fleet.nodeIds, limit, load);
          };
          await flood(1);
          for (const [event, milliseconds] of steps) {
            if (event.type === 'limit') {
              // The highest limit of a window counts, so each run of one limit is checked alone.
              fleet.assertBound();
              limit = limits[event.index] ?? limit;
              fleet.setLimit(limit);
            } else if (event.type === 'idle') await fleet.clock.advance(20_000);
            else fleet.apply(event);
            await flood(milliseconds / 1000);
          }
          fleet.assertBound();
        },
      ),
      { seed: 3, numRuns: 20 },
    );
  });
});
