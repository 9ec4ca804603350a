import assert from 'node:assert/strict';
import { test } from 'node:test';
import { addressOf, announcementOf, Fleet } from './fleet.js';

// Guards against nodes that never learn of each other or of a deployment.
test('a started fleet agrees on its nodes and its deployment', async () => {
  await using fleet = new Fleet(1, 4);
  fleet.applyDeployment(3);
  fleet.startAll(12);
  const converged = await fleet.clock.advanceUntil(
    () => fleet.agrees() && fleet.memberships().every((membership) => membership.ready()),
    10_000,
  );
  assert.ok(converged !== undefined, 'the fleet did not agree within 10 s');
  for (const membership of fleet.memberships()) assert.equal(membership.deployment()?.number, 3);
});

// Guards against a new or leaving backend server that peers hear of only by digest exchange.
test('a push of a changed own entry reaches all live nodes within a second', async () => {
  await using fleet = new Fleet(2, 4);
  fleet.applyDeployment(1);
  fleet.startAll(12);
  await fleet.clock.advance(15_000);
  const own = fleet.nodes.get('n5')?.membership;
  own?.announce(announcementOf('b5'));
  const seen = await fleet.clock.advanceUntil(
    () => fleet.memberships().every((membership) => membership.list('catalogue').length === 1),
    1000,
  );
  assert.ok(seen !== undefined, 'not all nodes know the announcement after 1 s');
  own?.leaving();
  const leaving = await fleet.clock.advanceUntil(
    () =>
      fleet
        .memberships()
        .every((membership) => membership.list('catalogue')[0]?.state === 'leaving'),
    1000,
  );
  assert.ok(leaving !== undefined, 'not all nodes know of the leaving after 1 s');
});

// Guards against a fleet without seeds that stays in as many pieces as it has nodes.
test('nodes without seeds find each other through the rosters in the store', async () => {
  await using fleet = new Fleet(3, 2);
  fleet.applyDeployment(1);
  for (let index = 0; index < 6; index += 1) fleet.start(index, []);
  const converged = await fleet.clock.advanceUntil(() => fleet.agrees(), 60_000, 100);
  assert.ok(converged !== undefined, 'the fleet did not agree within 60 s');
});

// Guards against a peer address that belongs to nobody being used for a known node.
test('the directory gives the peer address of a known node only', async () => {
  await using fleet = new Fleet(4, 2);
  fleet.applyDeployment(1);
  fleet.startAll(3);
  await fleet.clock.advance(5000);
  const membership = fleet.nodes.get('n0')?.membership;
  assert.deepEqual(membership?.peerAddressOf('n2'), addressOf(2));
  assert.equal(membership?.peerAddressOf('n9'), undefined);
});

// Guards against a status that shows a change as confirmed on the far side of a partition.
test('the fleet summary has all numbers, and names the domains that cannot be asked', async () => {
  await using fleet = new Fleet(5, 4);
  fleet.applyDeployment(6);
  fleet.startAll(12);
  await fleet.clock.advance(15_000);
  const membership = fleet.nodes.get('n1')?.membership;
  const ask = async () => {
    const summary = membership?.fleetSummary();
    await fleet.clock.advance(3000);
    return summary;
  };
  const whole = await ask();
  assert.deepEqual(
    whole?.nodes.map(({ deploymentNumber }) => deploymentNumber),
    Array.from({ length: 12 }, () => 6),
  );
  assert.deepEqual(whole?.unreachableFailureDomains, []);
  // Failure domains d0 and d2 are in the other region.
  const regionOf = (nodeId: string) => Number(nodeId.slice(1)) % 2;
  fleet.network.setPartition((from, to) => regionOf(from) !== regionOf(to));
  assert.deepEqual((await ask())?.unreachableFailureDomains, ['d0', 'd2']);
});
