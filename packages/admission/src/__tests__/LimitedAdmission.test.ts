import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AdmissionOutcome, AdmissionRequest, Permit } from '../AdmissionController.js';
import { createAdmissionController } from '../createAdmissionController.js';
import { ManualClock } from './ManualClock.js';

const slots = 2;

function makeAdmission(clock: ManualClock, options: { queueLimit?: number } = {}) {
  return createAdmissionController({
    slots,
    connections: 20,
    rampMilliseconds: 0,
    clock,
    ...options,
  });
}

function makeRequest(
  clock: ManualClock,
  changes: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    kind: 'read',
    weight: 1,
    depth: 0,
    deadline: clock.now() + 1_000,
    signal: new AbortController().signal,
    ...changes,
  };
}

function permitOf(outcome: AdmissionOutcome): Permit {
  assert.equal(outcome.type, 'admitted');
  return outcome.permit;
}

test('guards against a run for a request that was cancelled in the queue', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock);
  const first = permitOf(await admission.admit(makeRequest(clock)));
  await admission.admit(makeRequest(clock));
  const cancellation = new AbortController();
  const waiting = admission.admit(makeRequest(clock, { signal: cancellation.signal }));
  assert.equal(admission.report().queued, 1);
  cancellation.abort();
  first.release(10);
  assert.deepEqual(await waiting, { type: 'refused', reason: 'cancelled' });
  assert.deepEqual(
    { ...admission.report(), serviceMilliseconds: 0 },
    {
      limit: 2,
      inFlight: 1,
      queued: 0,
      serviceMilliseconds: 0,
      rampShare: 1,
    },
  );
});

test('guards against runs that end after their deadline', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock);
  const first = permitOf(await admission.admit(makeRequest(clock)));
  await admission.admit(makeRequest(clock));
  await clock.advance(50);
  first.release(50);
  permitOf(await admission.admit(makeRequest(clock)));
  const hopeless = await admission.admit(makeRequest(clock, { deadline: clock.now() + 60 }));
  assert.deepEqual(hopeless, { type: 'refused', reason: 'deadline-unreachable' });
  const late = admission.admit(makeRequest(clock, { deadline: clock.now() + 90 }));
  await clock.advance(45);
  assert.deepEqual(await late, { type: 'refused', reason: 'deadline-unreachable' });
});

test('guards against a late run after a pause of the process', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock);
  const first = permitOf(await admission.admit(makeRequest(clock)));
  await admission.admit(makeRequest(clock));
  const queued = admission.admit(makeRequest(clock, { deadline: clock.now() + 100 }));
  const paused = clock.advance(150);
  first.release();
  assert.deepEqual(await queued, { type: 'refused', reason: 'deadline-passed' });
  await paused;
});

test('guards against a drain that ends with work in flight or takes new work', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock);
  const permits = [
    permitOf(await admission.admit(makeRequest(clock))),
    permitOf(await admission.admit(makeRequest(clock))),
  ];
  const queued = admission.admit(makeRequest(clock));
  admission.stopAdmitting();
  let idle = false;
  const idling = admission.waitUntilIdle().then(() => {
    idle = true;
  });
  assert.deepEqual(await admission.admit(makeRequest(clock)), {
    type: 'refused',
    reason: 'leaving',
  });
  permits[0]?.release(5);
  permits[1]?.release(5);
  const last = permitOf(await queued);
  assert.equal(idle, false);
  last.release(5);
  last.release(5);
  await idling;
  assert.equal(admission.report().inFlight, 0);
});
