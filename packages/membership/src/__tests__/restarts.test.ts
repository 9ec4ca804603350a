import assert from 'node:assert/strict';
import { test } from 'node:test';
import { announcementOf, startedFleet } from './fleet.js';

// Guards against records of earlier runs that pile up or come back from old copies.
test('a thousand restarts leave no ghosts', async () => {
  await using fleet = await startedFleet(12, 4);
  for (let count = 0; count < 1000; count += 1) {
    const index = 1 + (count % 3);
    const old = fleet.nodes.get(`n${index}`);
    fleet.start(index);
    old?.membership[Symbol.asyncDispose]();
    old?.membership.announce(announcementOf(`ghost-${count}`));
    await fleet.clock.advance(20);
  }
  const settled = await fleet.clock.advanceUntil(() => fleet.agrees(), 30_000, 100);
  assert.ok(settled !== undefined, 'the fleet did not agree within 30 s of the last restart');
  for (const membership of fleet.memberships()) {
    assert.equal(membership.nodes().length, 4);
    assert.deepEqual(membership.list('catalogue'), []);
  }
});
