import { hashString, RandomSource } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  DocumentExchange,
  SimulatedClock,
  SimulatedNetwork,
  SimulatedProcess,
  type VersionedDocument,
} from '../index.js';

const intervalMilliseconds = 600;
const watcherCount = 3;
/** About the size of a configuration with 1,700 routes; the random names compress poorly. */
const largeText = Array.from(
  { length: 25_000 },
  (_unused, index) => `${hashString(`${index}`).toString(36)},`,
).join('');

interface Member {
  readonly name: string;
  readonly exchange: DocumentExchange;
  readonly process: SimulatedProcess;
  /** Versions received from peers, in order. */
  readonly receivedVersions: number[];
  isWatching: boolean;
}

function makeDocument(version: number, text = 'small'): VersionedDocument {
  return { version, text: `${version} ${text}` };
}

/** Creates a fleet whose first members watch the source; the others poll them and each other. */
function makeFleet(size: number, seed = 1) {
  const clock = new SimulatedClock();
  const random = new RandomSource(seed);
  const network = new SimulatedNetwork({ clock, random: random.fork() });
  const names = Array.from({ length: size }, (_unused, index) => `n${index}`);
  const stop = new AbortController();
  const members: Member[] = names.map((name, index) => {
    const process = new SimulatedProcess(clock);
    const own = random.fork();
    const pickPeer = (among: readonly string[]) => {
      const others = among.filter((other) => other !== name);
      return others[own.integerBelow(others.length)];
    };
    const member: Member = {
      name,
      process,
      receivedVersions: [],
      isWatching: index < watcherCount,
      exchange: new DocumentExchange({
        name: 'test',
        channel: network.connect({
          identity: { nodeId: name, incarnation: 1 },
          address: { host: '10.0.0.1', port: index + 1 },
          process,
        }),
        clock: process,
        pollIntervalMilliseconds: intervalMilliseconds,
        chooseAnnouncementPeers: () =>
          Array.from({ length: 4 }, () => pickPeer(names)).filter((peer) => peer !== undefined),
        choosePollPeers: () =>
          [names.slice(0, watcherCount), ...(own.next() < 0.25 ? [names] : [])]
            .map(pickPeer)
            .filter((peer) => peer !== undefined),
        isInOtherRegion: () => false,
        isWatchingSource: () => member.isWatching,
        onDocument: ({ text, version }) => {
          if (text.split(' ')[0] !== String(version)) return false;
          member.receivedVersions.push(version);
          return true;
        },
        onInvalidData: () => {},
      }),
    };
    member.exchange.run(stop.signal);
    return member;
  });
  const publish = (document: VersionedDocument) => {
    for (const { exchange, isWatching } of members) if (isWatching) exchange.publish(document);
  };
  return { clock, members, network, publish, stop };
}

// Guards against late configuration changes on nodes that don't read the store themselves, because
// the store refuses them or a slow link can't carry a large document to every node.
test('60 nodes, 3 of which read the source, all hold a large version within a second', async () => {
  const { clock, members, publish, stop } = makeFleet(60);
  publish(makeDocument(1, largeText));
  const taken = await clock.advanceUntil(
    () => members.every(({ exchange }) => exchange.version === 1),
    5000,
  );
  stop.abort();
  assert.ok(taken !== undefined && taken < 1000, `${taken} ms`);
});

// Guards against rapid configuration changes that pile up or are applied out of order.
test('a series of versions leaves the newest on all nodes, and none goes back', async () => {
  const { clock, members, network, publish, stop } = makeFleet(30, 2);
  network.lossProbability = 0.1;
  network.jitterMilliseconds = 100;
  for (let version = 1; version <= 20; version += 1) {
    publish(makeDocument(version, largeText));
    await clock.advance(150);
  }
  const taken = await clock.advanceUntil(
    () => members.every(({ exchange }) => exchange.version === 20),
    5000,
  );
  stop.abort();
  assert.ok(taken !== undefined && taken < 2000, `${taken} ms`);
  for (const member of members) {
    const sorted = [...new Set(member.receivedVersions)].sort((first, second) => first - second);
    assert.deepEqual(member.receivedVersions, sorted);
  }
});

// Guards against nodes that consider an outdated copy current after all watchers are gone.
test('the age stays low while watchers answer, and grows when none answers', async () => {
  const { clock, members, publish, stop } = makeFleet(30, 3);
  publish(makeDocument(1));
  await clock.advance(10_000);
  let oldest = 0;
  for (let step = 0; step < 100; step += 1) {
    await clock.advance(100);
    oldest = Math.max(oldest, ...members.map(({ exchange }) => exchange.ageMilliseconds));
  }
  for (const member of members) member.isWatching = false;
  await clock.advance(3000);
  const youngest = Math.min(...members.map(({ exchange }) => exchange.ageMilliseconds));
  stop.abort();
  assert.ok(oldest < 0.55 * 3000, `oldest ${oldest} ms`);
  assert.ok(youngest >= 3000, `youngest ${youngest} ms`);
});

// Guards against idle traffic that grows with the fleet; all traffic of a node is limited to 9
// KB/s.
test('idle nodes send less than 500 bytes per second, regardless of the fleet size', async () => {
  const rates: number[] = [];
  for (const size of [30, 120]) {
    const { clock, network, publish, stop } = makeFleet(size, 4);
    publish(makeDocument(1, largeText));
    await clock.advance(5000);
    const before = network.trafficOf('n20')?.bytesSent ?? 0;
    await clock.advance(20_000);
    rates.push(((network.trafficOf('n20')?.bytesSent ?? 0) - before) / 20);
    stop.abort();
  }
  for (const rate of rates) assert.ok(rate < 500, `${rates.join(' and ')} bytes per second`);
});

// Guards against an invalid configuration from one peer that is accepted or blocks a valid one.
test('an invalid document is rejected and the next version is accepted', async () => {
  const { clock, members, stop } = makeFleet(5, 5);
  const [first, ...others] = members;
  first?.exchange.publish({ version: 7, text: 'not version 7' });
  await clock.advance(3000);
  assert.ok(others.every(({ exchange }) => exchange.version === 0));
  first?.exchange.publish(makeDocument(8));
  await clock.advance(3000);
  stop.abort();
  assert.ok(others.every(({ exchange }) => exchange.version === 8));
});

// Guards against messages of a faulty peer that stop the exchange.
test('malformed messages change nothing', async () => {
  const { clock, members, network, stop } = makeFleet(2, 6);
  const faultyPeer = network.connect({
    identity: { nodeId: 'x', incarnation: 1 },
    address: { host: '10.0.0.9', port: 1 },
    process: new SimulatedProcess(clock),
  });
  for (const body of [null, 'text', { version: -1 }, { version: '9' }, { offset: -4 }, []]) {
    for (const name of ['state', 'part']) {
      const call = faultyPeer.call('n0', `test/${name}`, body, 100);
      await clock.advance(100);
      assert.equal((await call).ok, true);
    }
  }
  stop.abort();
  assert.ok(members.every(({ exchange }) => exchange.version === 0));
});
