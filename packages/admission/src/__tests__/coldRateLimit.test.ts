import { HostSpeedModel } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it, type TestContext } from 'node:test';

import type { AdmissionRequest } from '../AdmissionController.js';
import { ColdRateLimiter, type ColdLimit } from '../ColdRateLimiter.js';
import { SlotAdmissionController } from '../SlotAdmissionController.js';
import { ManualClock } from './ManualClock.js';

const limit: ColdLimit = {
  requestsPerSecond: 20,
  overFactor: 1.5,
  slack: 8,
  startMilliseconds: 0,
};
const allowedInOneSecond = limit.requestsPerSecond * limit.overFactor + limit.slack;
const stepMilliseconds = 5;
const workMilliseconds = 20;

/** A backend server with nine slots that is cold for some time, and the load on it. */
function startBackendServer(t: TestContext, coldMilliseconds: number, settings = limit) {
  t.mock.timers.enable({ apis: ['setInterval'] });
  const clock = new ManualClock();
  const startedAt = clock.now();
  const limiter = new ColdRateLimiter({ limit: () => settings, startedAt, clock });
  limiter.recordReport(coldMilliseconds);
  const admission = new SlotAdmissionController({
    slots: 9,
    coldMilliseconds: 0,
    coldRateLimiter: limiter,
    speed: new HostSpeedModel(),
    clock,
  });
  const sentAt: number[] = [];
  const refusedAfter: number[] = [];
  const send = async (overrides: Partial<AdmissionRequest> = {}): Promise<void> => {
    const arrivedAt = clock.now();
    const outcome = await admission.admit({
      kind: 'read',
      weight: 0.5,
      depth: 0,
      deadline: arrivedAt + 1000,
      usefulUntil: arrivedAt + 500,
      signal: new AbortController().signal,
      ...overrides,
    });
    if (outcome.type === 'refused') {
      refusedAfter.push(clock.now() - arrivedAt);
      return;
    }
    sentAt.push(clock.now() - startedAt);
    await clock.sleep(workMilliseconds);
    outcome.permit.release(workMilliseconds);
  };
  const advance = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
      await clock.advance(stepMilliseconds);
      t.mock.timers.tick(stepMilliseconds);
    }
  };
  /** Sends requests at a steady rate. */
  const load = async (perSecond: number, milliseconds: number, overrides = {}) => {
    let due = 0;
    for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
      for (due += (perSecond * stepMilliseconds) / 1000; due >= 1; due -= 1) send(overrides);
      await advance(stepMilliseconds);
    }
  };
  return { admission, advance, limiter, load, refusedAfter, send, sentAt };
}

function highestRate(times: readonly number[], from = 0, to = Infinity): number {
  const within = times.filter((time) => time >= from && time < to);
  const counts = within.map(
    (start) => within.filter((time) => time >= start && time < start + 1000).length,
  );
  return Math.max(0, ...counts);
}

describe('rate limit of a cold backend server', () => {
  it('burst at the start: guards against a cold backend server that crashes', async (t) => {
    const { advance, refusedAfter, send, sentAt } = startBackendServer(t, 3000);
    for (let index = 0; index < 100; index += 1) send();
    await advance(1000);
    assert.ok(highestRate(sentAt) <= allowedInOneSecond, `${highestRate(sentAt)} in one second`);
    // A fifth of the 500 ms until the target, and one sweep of the queue.
    assert.ok(Math.max(...refusedAfter) <= 130, 'a refusal came too late for another host');
    assert.equal(refusedAfter.length + sentAt.length, 100);
  });

  it('single late request: guards against refusing it at once although a token comes soon', async (t) => {
    const { advance, refusedAfter, send, sentAt } = startBackendServer(t, 3000);
    send();
    send({ usefulUntil: 0 });
    await advance(200);
    assert.deepEqual([sentAt.length, refusedAfter.length], [2, 0]);
  });

  it('steady overload of five times the rate: guards against a rate above the limit, or far below it', async (t) => {
    const { advance, load, sentAt } = startBackendServer(t, 5000);
    await load(100, 5000);
    await advance(500);
    const inTime = sentAt.filter((time) => time < 5000);
    assert.ok(highestRate(inTime) <= allowedInOneSecond, `${highestRate(inTime)} in one second`);
    const perSecond = inTime.length / 5;
    assert.ok(perSecond >= 18 && perSecond <= 23, `${perSecond} a second`);
  });

  it('overload by nested calls: guards against calls that do not count towards the limit', async (t) => {
    const { load, sentAt } = startBackendServer(t, 5000);
    await Promise.all([load(40, 2000, { depth: 1 }), load(40, 2000)]);
    assert.ok(highestRate(sentAt) <= allowedInOneSecond, `${highestRate(sentAt)} in one second`);
  });

  it('steady load above the rate: guards against a limit that is kept after the cold time', async (t) => {
    const { load, sentAt } = startBackendServer(t, 2000);
    await load(100, 4000);
    const warm = sentAt.filter((time) => time >= 2100);
    assert.ok(warm.length > 180, `${warm.length} of 190 requests`);
  });

  it('steady load above the rate: guards against a backend server that becomes cold again', async (t) => {
    const { limiter, load, sentAt } = startBackendServer(t, 0);
    await load(100, 2000);
    assert.equal(sentAt.length, 200);
    limiter.recordReport(3000);
    await load(100, 1500);
    // Each report repeats the remaining time, and adds nothing to the allowance.
    limiter.recordReport(1500);
    await load(100, 1500);
    const rate = highestRate(sentAt, 2000, 5000);
    assert.ok(rate <= allowedInOneSecond, `${rate} in one second`);
  });

  it('start during traffic: guards against full load before the first report of cold time', async (t) => {
    const settings = { ...limit, startMilliseconds: 3000 };
    const { load, sentAt } = startBackendServer(t, 0, settings);
    await load(100, 3000);
    assert.ok(highestRate(sentAt) <= allowedInOneSecond, `${highestRate(sentAt)} in one second`);
  });

  it('overload: guards against other nodes that take a cold backend server for an idle one', async (t) => {
    const { admission, load } = startBackendServer(t, 3000);
    await load(100, 1000);
    const report = admission.report();
    const { inFlight, limit: reported, queued, rampShare, serviceMilliseconds } = report;
    assert.ok(inFlight + queued + 1 > reported, `${inFlight} and ${queued} of ${reported}`);
    // The wait that other nodes predict for each request ahead of theirs: one interval of the rate.
    const wait = serviceMilliseconds / rampShare / reported;
    assert.ok(wait > 45, `${wait} ms`);
  });

  it('no limit in the configuration: guards against effects on earlier deployments', async () => {
    const clock = new ManualClock();
    const limiter = new ColdRateLimiter({ limit: () => undefined, startedAt: 0, clock });
    limiter.recordReport(5000);
    limiter.take();
    assert.equal(limiter.waitFor(1000), 0);
    assert.equal(limiter.requestsPerSecond, undefined);
  });
});
