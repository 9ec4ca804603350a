import { SimulatedClock } from '@hickorybridge/coordination';
import { Distance, type LoadReport } from '@hickorybridge/types';
import { HostSpeedModel } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { areManyHostsBusy, canTakeHedge, selectHedgePlaces } from '../hedgeHosts.js';
import { HedgeWorkLimit } from '../HedgeWorkLimit.js';
import { HostLoad } from '../HostLoad.js';
import type { HostCandidate } from '../HostSelector.js';
import { RequestHedging } from '../RequestHedging.js';
import { ResponseTimeQuantile } from '../ResponseTimeQuantile.js';
import { HedgedServiceModel } from './HedgedServiceModel.js';

const share = 0.1;
const burst = 11;

async function runModel(
  hedgeShare: number | undefined,
  utilization: number,
  slownessOf: (host: number) => number,
): Promise<HedgedServiceModel> {
  const model = new HedgedServiceModel(hedgeShare);
  await model.run(3000, utilization);
  model.slownessOf = slownessOf;
  await model.run(5000, utilization);
  return model;
}

describe('hedged requests of a service', () => {
  it('one slow host: guards against a slow host that decides the tail, and against more extra work than the limit', async () => {
    const isSlow = (host: number) => (host === 0 ? 5 : 1);
    // One in eight requests meets the slow host, so the limit must cover these.
    const model = await runModel(0.2, 0.3, isSlow);
    const without = await runModel(undefined, 0.3, isSlow);
    assert.equal(without.hedges, 0);
    assert.ok(model.quantile(0.95) < 0.75 * without.quantile(0.95), `${model.quantile(0.95)} ms`);
    assert.ok(model.hedges <= 0.2 * model.requests + burst, `${model.hedges} hedges`);
    assert.ok(model.won > model.hedges / 2, `${model.won} of ${model.hedges} won`);
    assert.equal(model.sameDomain, 0);
  });

  it('all hosts slow: guards against hedges that make a slow service slower', async () => {
    const model = new HedgedServiceModel(share);
    await model.run(3000, 0.15);
    model.slownessOf = () => 4;
    const hedgesBefore = model.hedges;
    await model.run(5000, 0.15);
    assert.equal(model.hedges, hedgesBefore);
  });

  it('overload: guards against hedges while many hosts are busy', async () => {
    const model = await runModel(share, 0.5, () => 1);
    const hedgesBefore = model.hedges;
    assert.ok(hedgesBefore > 0);
    await model.run(200, 1.5);
    const hedgesAtStart = model.hedges;
    await model.run(3000, 1.3);
    assert.equal(model.hedges, hedgesAtStart);
  });
});

describe('learnt response times', () => {
  it('shift: guards against a delay that follows neither a rise nor a fall within seconds', () => {
    const clock = new SimulatedClock();
    const times = new ResponseTimeQuantile({ quantile: 0.95, clock });
    const feed = async (seconds: number, milliseconds: number) => {
      for (let count = 0; count < seconds * 20; count += 1) {
        await clock.advance(50);
        times.record(milliseconds + (count % 10));
      }
    };
    return feed(10, 20)
      .then(() => assert.ok((times.value ?? 0) >= 27 && (times.value ?? 0) <= 32))
      .then(() => feed(1, 200))
      .then(() => assert.ok((times.value ?? 0) >= 200, `after a rise: ${times.value} ms`))
      .then(() => feed(10, 200))
      .then(() => feed(5, 20))
      .then(() => assert.ok((times.value ?? 0) <= 32, `after a fall: ${times.value} ms`));
  });

  it('guards against a delay from too few or outdated samples', async () => {
    const clock = new SimulatedClock();
    const times = new ResponseTimeQuantile({ quantile: 0.95, clock });
    for (let count = 0; count < 19; count += 1) times.record(20);
    assert.equal(times.value, undefined);
    times.record(20);
    await clock.advance(100);
    assert.ok(times.value !== undefined);
    await clock.advance(60_000);
    assert.equal(times.value, undefined);
  });

  it('guards against attempts that were cancelled early and lower the delay', async () => {
    const clock = new SimulatedClock();
    const hedging = new RequestHedging({ shareOf: () => share, clock });
    for (let count = 0; count < 100; count += 1)
      hedging.recordAttempt('s', 'r', { milliseconds: 50, answered: true });
    await clock.advance(100);
    const before = hedging.delayFor('s', 'r');
    for (let count = 0; count < 5000; count += 1)
      hedging.recordAttempt('s', 'r', { milliseconds: 5, answered: false });
    await clock.advance(100);
    assert.equal(hedging.delayFor('s', 'r'), before);
  });

  it('guards against hedges where the share is 0 or not set', () => {
    for (const unset of [0, undefined]) {
      const hedging = new RequestHedging({ shareOf: () => unset, clock: new SimulatedClock() });
      hedging.recordRequest('s', 20);
      hedging.recordAttempt('s', 'r', { milliseconds: 20, answered: true });
      assert.equal(hedging.delayFor('s', 'r'), undefined);
      assert.equal(hedging.allows('s', 20), false);
    }
  });
});

describe('limit of hedged work', () => {
  it('guards against hedges of an expensive route on the share of many cheap requests', () => {
    const limit = new HedgeWorkLimit();
    let requested = 0;
    let hedged = 0;
    for (let count = 0; count < 20_000; count += 1) {
      const work = count % 50 === 0 ? 1000 : 10;
      limit.recordRequest(work, share);
      requested += work;
      while (limit.allows(1000)) {
        limit.take(1000);
        hedged += 1000;
      }
    }
    assert.ok(hedged > 0.05 * requested, `${hedged} of ${requested} ms`);
    // Ten mean requests of 30 ms, and one hedge.
    assert.ok(hedged <= share * requested + 300 + 1000, `${hedged} of ${requested} ms`);
  });
});

describe('host of a hedge', () => {
  const speed = new HostSpeedModel();
  const candidateWith = (report: Partial<LoadReport>, domain = 'd', distance?: Distance) => {
    const load = new HostLoad();
    const usual = { limit: 9, inFlight: 2, queued: 0, serviceMilliseconds: 20, rampShare: 1 };
    load.recordReport({ ...usual, ...report }, 0);
    const location = { region: distance === Distance.otherRegion ? 'q' : 'r' };
    return {
      entry: { location: { ...location, failureDomain: domain } },
      distance: distance ?? Distance.sameRegion,
      load,
      roundTripMilliseconds: 3,
    } as unknown as HostCandidate;
  };

  it('guards against a hedge to a host that is slow, busy, cold or not known', () => {
    const canTake = (report: Partial<LoadReport>, now = 0) =>
      canTakeHedge(candidateWith(report), { now, speed, depth: 0 });
    assert.equal(canTake({}), true);
    assert.equal(canTake({ workFactor: 5 }), false);
    assert.equal(canTake({ slowness: 2 }), false);
    assert.equal(canTake({ inFlight: 7 }), false);
    assert.equal(canTake({ queued: 6 }), false);
    assert.equal(canTake({ rampShare: 0.5 }), false);
    assert.equal(canTake({}, 51), false);
  });

  it('guards against a hedge in the same failure domain or across the regions while others exist', () => {
    const [near, other, far] = [
      candidateWith({}, 'd'),
      candidateWith({}, 'e'),
      candidateWith({}, 'f', Distance.otherRegion),
    ] as const;
    assert.deepEqual(selectHedgePlaces([near, other, far], near), [other]);
    assert.deepEqual(selectHedgePlaces([near, far], near), [near]);
    assert.deepEqual(selectHedgePlaces([far], near), []);
  });

  it('guards against one busy host of many that stops hedges, and a third that does not', () => {
    const free = Array.from({ length: 6 }, () => candidateWith({}));
    const busy = Array.from({ length: 4 }, () => candidateWith({ inFlight: 9 }));
    assert.equal(areManyHostsBusy([...free, ...busy.slice(0, 1)], 0), false);
    assert.equal(areManyHostsBusy([...free, ...busy], 0), true);
  });
});
