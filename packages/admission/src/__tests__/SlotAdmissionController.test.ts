import { HostSpeedModel } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { AdmissionOutcome, AdmissionRequest, Permit } from '../AdmissionController.js';
import { KneeEstimator } from '../KneeEstimator.js';
import { SlotAdmissionController } from '../SlotAdmissionController.js';
import { ManualClock } from './ManualClock.js';

function makeAdmission(slots: number) {
  const clock = new ManualClock();
  const speed = new HostSpeedModel();
  const admission = new SlotAdmissionController({ slots, coldMilliseconds: 0, speed, clock });
  const order: string[] = [];
  const request = (overrides: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
    kind: 'read',
    weight: 0.5,
    depth: 0,
    deadline: clock.now() + 1000,
    usefulUntil: clock.now() + 500,
    signal: new AbortController().signal,
    ...overrides,
  });
  const enqueue = (name: string, overrides: Partial<AdmissionRequest> = {}) => {
    const outcome = admission.admit(request(overrides));
    outcome.then((settled) => {
      order.push(settled.type === 'admitted' ? name : `${name} refused: ${settled.reason}`);
    });
    return outcome;
  };
  /** Runs one request so that the controller has a service time for its kind. */
  const learnServiceTime = async (kind: string, milliseconds: number) => {
    const permit = permitOf(await admission.admit(request({ kind })));
    await clock.advance(milliseconds);
    permit.release(milliseconds);
  };
  return { admission, clock, enqueue, order, request, speed, learnServiceTime };
}

function permitOf(outcome: AdmissionOutcome): Permit {
  assert.equal(outcome.type, 'admitted');
  return outcome.permit;
}

describe('slot admission controller', () => {
  it('priority inversion: guards against calls that wait behind new requests', async () => {
    const { admission, clock, enqueue, order, request } = makeAdmission(1);
    const permit = permitOf(await admission.admit(request()));
    enqueue('new request', { weight: 1 });
    enqueue('call', { depth: 1 });
    permit.release(10);
    await clock.advance(1);
    assert.deepEqual(order, ['call']);
  });

  it('stale slowness: guards against a host that is reported as slow because it was full', async () => {
    const { admission, clock, request } = makeAdmission(4);
    const expectedWorkMilliseconds = 50;
    for (let round = 0; round < 10; round += 1) {
      const permits: Permit[] = [];
      for (let index = 0; index < 4; index += 1) {
        permits.push(permitOf(await admission.admit(request({ expectedWorkMilliseconds }))));
      }
      await clock.advance(150);
      for (const permit of permits) permit.release(150);
    }
    assert.ok((admission.report().slowness ?? 1) < 1.2);
  });

  it('overload: guards against timely requests that wait behind late ones', async () => {
    const { admission, clock, enqueue, order, request, learnServiceTime } = makeAdmission(1);
    await learnServiceTime('read', 100);
    const permit = permitOf(await admission.admit(request({ deadline: clock.now() + 9000 })));
    enqueue('late', { usefulUntil: clock.now() + 50, deadline: clock.now() + 5000 });
    enqueue('timely', { usefulUntil: clock.now() + 900, deadline: clock.now() + 5000 });
    permit.release(100);
    await clock.advance(1);
    assert.deepEqual(order, ['timely']);
  });

  it('overload: guards against a kind of higher weight that waits behind one of lower weight', async () => {
    const { admission, clock, enqueue, order, request } = makeAdmission(1);
    const permit = permitOf(await admission.admit(request()));
    enqueue('low weight', { weight: 0.3 });
    enqueue('high weight', { weight: 0.5 });
    permit.release(10);
    await clock.advance(1);
    assert.deepEqual(order, ['high weight']);
  });

  it('overload: guards against queueing a request whose deadline is unreachable', async () => {
    const { admission, clock, enqueue, order, request, learnServiceTime } = makeAdmission(1);
    await learnServiceTime('read', 100);
    permitOf(await admission.admit(request()));
    const deadlines = { deadline: clock.now() + 250, usefulUntil: clock.now() + 250 };
    enqueue('first', deadlines);
    enqueue('second', deadlines);
    await clock.advance(1);
    assert.deepEqual(order, ['second refused: deadline-unreachable']);
  });

  it('guards against more requests in flight than slots', async () => {
    const { admission, enqueue, request } = makeAdmission(2);
    await admission.admit(request());
    const permit = permitOf(await admission.admit(request()));
    enqueue('third');
    assert.equal(admission.report().inFlight, 2);
    assert.equal(admission.report().queued, 1);
    permit.release();
    assert.equal(admission.report().inFlight, 2);
  });

  it('nested calls: guards against calls that find every slot taken by long requests', async () => {
    const { admission, clock, enqueue, order, request } = makeAdmission(4);
    // Calls use one slot on average for about a second.
    for (let count = 0; count < 30; count += 1) {
      const call = permitOf(await admission.admit(request({ kind: 'call', depth: 1 })));
      await clock.advance(40);
      call.release(40);
    }
    for (const name of ['first', 'second', 'third', 'fourth']) enqueue(name);
    enqueue('call', { kind: 'call', depth: 1 });
    await clock.advance(1);
    assert.deepEqual(order, ['first', 'second', 'third', 'call']);
    assert.equal(admission.report().reserved, 1);
  });

  it('guards against slots that are reserved when there are no calls', async () => {
    const { admission, clock, enqueue, order } = makeAdmission(4);
    for (const name of ['first', 'second', 'third', 'fourth']) enqueue(name);
    await clock.advance(1);
    assert.deepEqual(order, ['first', 'second', 'third', 'fourth']);
    assert.equal(admission.report().reserved, 0);
  });

  it('guards against queued requests that start long after the backend server has left', async () => {
    const { admission, clock, enqueue, order, request } = makeAdmission(1);
    const permit = permitOf(await admission.admit(request()));
    enqueue('queued');
    admission.stopAdmitting();
    assert.deepEqual(await admission.admit(request()), { type: 'refused', reason: 'leaving' });
    admission.refuseQueued();
    permit.release();
    await clock.advance(1);
    assert.deepEqual(order, ['queued refused: leaving']);
  });

  it('slow host: guards against waiting times predicted at the usual speed of the host', async () => {
    const { admission, clock, enqueue, order, request, speed, learnServiceTime } = makeAdmission(1);
    await learnServiceTime('read', 100);
    speed.observe(5, clock.now());
    permitOf(await admission.admit(request()));
    enqueue('unreachable', { deadline: clock.now() + 220, usefulUntil: clock.now() + 220 });
    await clock.advance(1);
    assert.deepEqual(order, ['unreachable refused: deadline-unreachable']);
  });
});

describe('knee estimator', () => {
  const slots = 13;

  function recordSamples(
    kneeEstimator: KneeEstimator,
    slowAbove: number,
    factor: number,
    rounds = 30,
  ): void {
    for (let round = 0; round < rounds; round += 1) {
      for (let level = 4; level <= slots; level += 1) {
        // Times vary by a third in both directions, like those of real requests.
        const variation = 1 + (((round * 7 + level * 3) % 5) - 2) / 6;
        kneeEstimator.record('read', 20 * variation * (level > slowAbove ? factor : 1), level, 0);
      }
    }
  }

  it('knee: guards against using slots that slow down all other requests', () => {
    const kneeEstimator = new KneeEstimator(slots);
    recordSamples(kneeEstimator, 10, 1.7);
    assert.equal(kneeEstimator.limitAt(0), 10);
  });

  it('no knee: guards against slots that stay unused without need', () => {
    const kneeEstimator = new KneeEstimator(slots);
    recordSamples(kneeEstimator, slots, 1);
    assert.equal(kneeEstimator.limitAt(0), slots);
  });

  it('expired knee: guards against a lowered limit that is kept after its lifetime', () => {
    const kneeEstimator = new KneeEstimator(slots);
    recordSamples(kneeEstimator, 10, 1.7);
    assert.equal(kneeEstimator.limitAt(61_000), slots);
  });
});
