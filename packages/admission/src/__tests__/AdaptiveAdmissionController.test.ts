import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AdmissionOutcome, AdmissionRequest, Permit } from '../AdmissionController.js';
import { createAdaptiveAdmissionController } from '../createAdaptiveAdmissionController.js';
import { ManualClock } from './ManualClock.js';

const slots = 2;

function makeAdmission(clock: ManualClock, options: { queueLimit?: number } = {}) {
  return createAdaptiveAdmissionController({
    slots,
    connections: 20,
    rampMilliseconds: 0,
    clock,
    ...options,
  });
}

function makeRequest(
  clock: ManualClock,
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    kind: 'read',
    weight: 1,
    depth: 0,
    deadline: clock.now() + 1_000,
    signal: new AbortController().signal,
    ...overrides,
  };
}

function permitOf(outcome: AdmissionOutcome): Permit {
  assert.equal(outcome.type, 'admitted');
  return outcome.permit;
}

test('guards against running a request that was cancelled in the queue', async () => {
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

test('guards against requests that end after their deadline', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock);
  const first = permitOf(await admission.admit(makeRequest(clock)));
  await admission.admit(makeRequest(clock));
  await clock.advance(50);
  first.release(50);
  permitOf(await admission.admit(makeRequest(clock)));
  const unreachable = await admission.admit(makeRequest(clock, { deadline: clock.now() + 60 }));
  assert.deepEqual(unreachable, { type: 'refused', reason: 'deadline-unreachable' });
  const late = admission.admit(makeRequest(clock, { deadline: clock.now() + 90 }));
  await clock.advance(45);
  assert.deepEqual(await late, { type: 'refused', reason: 'deadline-unreachable' });
});

test('guards against running a request whose deadline passed during a pause of the process', async () => {
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

test('guards against a drain that ends with requests in flight or admits new ones', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock);
  const permits = [
    permitOf(await admission.admit(makeRequest(clock))),
    permitOf(await admission.admit(makeRequest(clock))),
  ];
  const queued = admission.admit(makeRequest(clock));
  admission.stopAdmitting();
  let idle = false;
  const idlePromise = admission.waitUntilIdle().then(() => {
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
  await idlePromise;
  assert.equal(admission.report().inFlight, 0);
});
