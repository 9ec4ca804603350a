import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startedFleet } from './fleet.js';

// Guards against a herd on the store's return, and against retries that load it while it is down.
test('an outage of five minutes costs few calls, and so does its end', async () => {
  await using fleet = await startedFleet(16, 24, 4);
  fleet.store.setDown(true);
  await fleet.clock.advance(60_000);
  const startOfCount = fleet.clock.now();
  const callsBefore = fleet.store.calls;
  await fleet.clock.advance(240_000);
  const callsPerSecond = (fleet.store.calls - callsBefore) / 240;
  assert.ok(callsPerSecond < 10, `${callsPerSecond} calls a second during the outage`);
  fleet.store.setDown(false);
  fleet.applyDeployment(2);
  const converged = await fleet.clock.advanceUntil(
    () => fleet.memberships().every((membership) => membership.deployment()?.number === 2),
    15_000,
  );
  assert.ok(converged !== undefined, 'the deployment is not in effect 15 s after the outage');
  await fleet.clock.advance(10_000);
  const highest = fleet.store.peakCallsPerSecond(startOfCount);
  assert.ok(highest <= 60, `${highest} calls in the busiest second`);
  assert.ok(fleet.agrees());
});
