import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseFencedValue } from '@hickorybridge/coordination';
import { addressOf, announcementOf, Fleet, startedFleet } from './fleet.js';

function rosterNames(fleet: Fleet, domain: string): string[] {
  const value = fleet.store.peek(`rosters/${domain}`)?.value ?? '';
  const content = parseFencedValue(value)?.content as { nodes: { nodeId: string }[] } | undefined;
  return (content?.nodes ?? []).map(({ nodeId }) => nodeId).sort();
}

/** Gives the names of the reporters of failure domain d0, which holds the even nodes. */
function reportersOf(fleet: Fleet): string[] {
  return fleet
    .memberships()
    .map((membership) => membership.summary())
    .filter(({ location, roles }) => location.failureDomain === 'd0' && roles.includes('reporter'))
    .map(({ identity }) => identity.nodeId);
}

/** Lets time pass and checks at each step that some nodes list all of some others. */
async function passListing(
  fleet: Fleet,
  seconds: number,
  viewers: readonly string[],
  listed: readonly string[],
): Promise<void> {
  for (let step = 0; step < seconds * 5; step += 1) {
    await fleet.clock.advance(200);
    for (const viewer of viewers) {
      const names =
        fleet.nodes
          .get(viewer)
          ?.membership.nodes()
          .map(({ nodeId }) => nodeId) ?? [];
      const missing = listed.filter((name) => !names.includes(name));
      assert.deepEqual(missing, [], `not listed by ${viewer} after ${(step + 1) / 5} s`);
    }
  }
}

// Guards against a dead node that keeps its place because both of its reporters died with it, and
// against live nodes that the new reporters remove because heartbeats still go to the dead ones.
test('dead nodes leave all memories and the roster, reporters included', async () => {
  await using fleet = await startedFleet(11, 12);
  const reporters = reportersOf(fleet);
  assert.equal(reporters.length, 2);
  for (const reporter of reporters) fleet.kill(Number(reporter.slice(1)));
  const live = [...fleet.nodes.keys()];
  await passListing(fleet, 40, live, live);
  assert.ok(fleet.agrees(), 'dead reporters are still listed after 40 s');
  await fleet.clock.advance(20_000);
  const expected = live.filter((name) => Number(name.slice(1)) % 2 === 0);
  assert.deepEqual(rosterNames(fleet, 'd0'), expected.sort());
});

// Guards against a removed node that a peer brings back which was cut off during the removal.
test('a removed node does not come back through an old copy', async () => {
  await using fleet = await startedFleet(23, 12);
  const [dead, cutOff] = ['n1', 'n3', 'n5', 'n7', 'n9', 'n11'].filter(
    (name) => !fleet.nodes.get(name)?.membership.summary().roles.includes('reporter'),
  );
  fleet.network.setPartition((from, to) => from === cutOff || to === cutOff);
  fleet.kill(Number(dead?.slice(1)));
  await fleet.clock.advance(16_000);
  const viewers = [...fleet.nodes.keys()].filter((name) => name !== cutOff);
  const listsDead = (name: string) =>
    fleet.nodes.get(name)?.membership.peerAddressOf(dead ?? '') !== undefined;
  assert.deepEqual(viewers.filter(listsDead), []);
  assert.ok(listsDead(cutOff ?? ''), 'the node that was cut off has no old copy');
  fleet.network.setPartition();
  for (let step = 0; step < 100; step += 1) {
    await fleet.clock.advance(100);
    assert.deepEqual(viewers.filter(listsDead), [], `listed again after ${(step + 1) * 100} ms`);
  }
  assert.ok(fleet.agrees());
});

// Guards against a cut that only the node sees: its reporters hear it although it hears them not.
test('a node that gets no answers from its reporters stays listed', async () => {
  await using fleet = await startedFleet(24, 12);
  const reporters = reportersOf(fleet);
  const victim = ['n0', 'n2', 'n4', 'n6'].find((name) => !reporters.includes(name)) ?? '';
  fleet.network.setPartition((from, to) => reporters.includes(from) && to === victim);
  await passListing(fleet, 60, [...fleet.nodes.keys()], [victim]);
});

// Guards against a reporter that is cut off from its peers, but not from the store, and removes all.
test('a reporter that hears from no peer removes nobody', async () => {
  await using fleet = await startedFleet(25, 12);
  const [reporter] = reportersOf(fleet);
  const others = [...fleet.nodes.keys()].filter((name) => name !== reporter);
  fleet.network.setPartition((from, to) => from === reporter || to === reporter);
  await passListing(fleet, 40, [...fleet.nodes.keys()], others);
  fleet.network.setPartition();
  await passListing(fleet, 20, [...fleet.nodes.keys()], others);
  assert.ok(fleet.agrees());
});

// Guards against the survivor of a pair that lists its dead peer for ever.
test('the survivor of two nodes removes the other one', async () => {
  await using fleet = await startedFleet(26, 2, 1);
  fleet.kill(0);
  const removed = await fleet.clock.advanceUntil(() => fleet.agrees(), 20_000, 100);
  assert.ok(removed !== undefined, 'the dead peer is listed after 20 s');
});

// Guards against a process that was replaced and still answers under its old name.
test('an older incarnation never wins over a newer one', async () => {
  await using fleet = await startedFleet(13, 6);
  const old = fleet.nodes.get('n3');
  old?.membership.announce(announcementOf('old'));
  old?.process.pause();
  await fleet.clock.advance(3000);
  const replacement = fleet.start(3);
  replacement.membership.announce(announcementOf('new'));
  await fleet.clock.advance(3000);
  let superseded = 0;
  old?.membership.onSuperseded((incarnation) => {
    superseded = incarnation;
  });
  old?.process.resume();
  for (let second = 0; second < 20; second += 1) {
    old?.membership.announce({ ...announcementOf('old'), slots: 5 + second });
    await fleet.clock.advance(1000);
    // The newer process renews as a backend server does.
    replacement.membership.announce(announcementOf('new'));
    for (const membership of fleet.memberships()) {
      const names = membership.list('catalogue').map(({ backendServerId }) => backendServerId);
      assert.deepEqual(names, ['new']);
    }
  }
  assert.equal(superseded, replacement.identity.incarnation);
  old?.membership[Symbol.asyncDispose]();
});

// Guards against a cut that only one side sees: the node is alive and must stay listed.
test('a one-way cut from a node to one reporter does not remove the node', async () => {
  await using fleet = await startedFleet(14, 12);
  const reporter = fleet
    .memberships()
    .map((membership) => membership.summary())
    .find(({ location, roles }) => location.failureDomain === 'd0' && roles.includes('reporter'));
  const name = reporter?.identity.nodeId;
  const victim = ['n0', 'n2', 'n4', 'n6'].find(
    (nodeId) =>
      nodeId !== name && !fleet.nodes.get(nodeId)?.membership.summary().roles.includes('reporter'),
  );
  fleet.network.setPartition((from, to) => from === victim && to === name);
  for (let second = 0; second < 60; second += 1) {
    await fleet.clock.advance(1000);
    assert.ok(fleet.agrees(), `the node was removed ${second + 1} s after the cut`);
  }
});

// Guards against a paused reporter that resumes and takes its own silence for everyone's death.
test('a reporter that was paused for a minute removes nobody when it resumes', async () => {
  await using fleet = await startedFleet(15, 8);
  const reporter = [...fleet.nodes.values()].find(({ membership }) =>
    membership.summary().roles.includes('roster-writer'),
  );
  reporter?.process.pause();
  await fleet.clock.advance(60_000);
  reporter?.process.resume();
  const back = await fleet.clock.advanceUntil(() => fleet.agrees(), 5000);
  assert.ok(back !== undefined, 'the resumed reporter was not listed again within 5 s');
  for (let second = 0; second < 20; second += 1) {
    await fleet.clock.advance(1000);
    assert.ok(fleet.agrees(), `a live node was missing ${second + 1} s after the return`);
  }
});

// Guards against a restarted node that serves with the old deployment of the first peer it meets.
test('a node restarted during an outage does not serve with an old peer’s deployment', async () => {
  await using fleet = await startedFleet(17, 8);
  // At its start every node watches the store until it knows its peers; those watches end here.
  await fleet.clock.advance(10_000);
  // The old peer is cut off from all but the restarted node, so it keeps its old number.
  fleet.network.setPartition((from, to) => [from, to].includes('n2') && ![from, to].includes('n3'));
  fleet.kill(3);
  const old = fleet.nodes.get('n2')?.membership;
  assert.ok(!old?.summary().roles.includes('store-watcher'), 'the old peer must not see the store');
  fleet.applyDeployment(7);
  await fleet.clock.advance(2000);
  fleet.store.setDown(true);
  assert.equal(old?.deployment()?.number, 1);
  assert.equal(fleet.nodes.get('n4')?.membership.deployment()?.number, 7);
  const restarted = fleet.start(3, [addressOf(2)]);
  const numbers: number[] = [];
  restarted.membership.onDeployment(({ number }) => numbers.push(number));
  const ready = await fleet.clock.advanceUntil(() => restarted.membership.ready(), 20_000);
  assert.ok(ready !== undefined, 'the restarted node was not ready within 20 s');
  assert.equal(restarted.membership.deployment()?.number, 7);
  assert.deepEqual(
    numbers,
    [...numbers].sort((first, second) => first - second),
  );
});

// Guards against a node that serves without any deployment because nobody could be asked.
test('a node that finds neither store nor peers is not ready until the store returns', async () => {
  await using fleet = new Fleet(18);
  fleet.applyDeployment(4);
  fleet.store.setDown(true);
  const { membership } = fleet.start(5, []);
  await fleet.clock.advance(60_000);
  assert.equal(membership.ready(), false);
  fleet.store.setDown(false);
  const ready = await fleet.clock.advanceUntil(() => membership.ready(), 10_000);
  assert.ok(ready !== undefined, 'not ready 10 s after the return of the store');
  assert.equal(membership.deployment()?.number, 4);
});

// Guards against a lower number that takes effect, from the store or from a healed partition.
test('no node ever goes back to a lower deployment number', async () => {
  await using fleet = await startedFleet(19, 8);
  const lower: string[] = [];
  for (const { identity, membership } of fleet.nodes.values()) {
    let highest = membership.deployment()?.number ?? 0;
    membership.onDeployment(({ number }) => {
      if (number <= highest) lower.push(`${identity.nodeId}: ${highest} to ${number}`);
      highest = number;
    });
  }
  fleet.network.jitterMilliseconds = 300;
  fleet.network.lossShare = 0.2;
  const domainOf = (nodeId: string) => Number(nodeId.slice(1)) % 2;
  for (let number = 2; number < 20; number += 1) {
    fleet.network.setPartition(
      number % 3 === 0 ? (from, to) => domainOf(from) !== domainOf(to) : undefined,
    );
    fleet.applyDeployment(number % 4 === 0 ? number - 2 : number);
    await fleet.clock.advance(700);
  }
  fleet.network.setPartition();
  fleet.applyDeployment(30);
  const converged = await fleet.clock.advanceUntil(
    () => fleet.memberships().every((membership) => membership.deployment()?.number === 30),
    15_000,
  );
  assert.ok(converged !== undefined, 'the last deployment is not in effect after 15 s');
  assert.deepEqual(lower, []);
});

// Guards against a backend server that stays listed after it stopped to renew.
test('an announcement lapses after 6 s and is told to the node', async () => {
  await using fleet = await startedFleet(20, 4);
  const membership = fleet.nodes.get('n1')?.membership;
  const changes: string[] = [];
  membership?.onLocalChange(({ type }) => changes.push(type));
  membership?.announce(announcementOf('b'));
  await fleet.clock.advance(5500);
  assert.equal(membership?.announce(announcementOf('b')), 'renewed');
  await fleet.clock.advance(5500);
  assert.equal(fleet.nodes.get('n2')?.membership.list('catalogue').length, 1);
  await fleet.clock.advance(3000);
  assert.equal(fleet.nodes.get('n2')?.membership.list('catalogue').length, 0);
  assert.deepEqual(changes, ['announced', 'lapsed']);
});

// Guards against a drained backend server that a late renewal makes serving again.
test('a withdrawn backend server stays leaving until it is removed', async () => {
  await using fleet = await startedFleet(21, 4);
  const membership = fleet.nodes.get('n1')?.membership;
  membership?.announce(announcementOf('b'));
  assert.equal(membership?.withdraw('b'), true);
  assert.equal(membership?.announce(announcementOf('b')), 'leaving');
  await fleet.clock.advance(20_000);
  const seen = fleet.nodes.get('n2')?.membership.list('catalogue');
  assert.deepEqual(
    seen?.map(({ state }) => state),
    ['leaving'],
  );
  assert.equal(membership?.remove('b'), true);
  assert.equal(membership?.announce(announcementOf('b')), 'added');
});

// Guards against verdicts of one service being taken for another's, and against a lost removal.
test('verdicts of the monitoring group reach all nodes', async () => {
  await using fleet = await startedFleet(22, 6);
  fleet.store.put('verdicts/catalogue', JSON.stringify({ b1: 'down', b2: 'draining', b3: 'x' }));
  await fleet.clock.advance(2000);
  for (const membership of fleet.memberships()) {
    assert.equal(membership.verdictOf('catalogue', 'b1'), 'down');
    assert.equal(membership.verdictOf('catalogue', 'b2'), 'draining');
    assert.equal(membership.verdictOf('catalogue', 'b3'), 'up');
    assert.equal(membership.verdictOf('custody', 'b1'), 'up');
  }
  fleet.store.put('verdicts/catalogue', '{}');
  await fleet.clock.advance(2000);
  for (const membership of fleet.memberships()) {
    assert.equal(membership.verdictOf('catalogue', 'b1'), 'up');
  }
});
