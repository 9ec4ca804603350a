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

const askIntervalMilliseconds = 600;
const watcherCount = 3;
/** About the size of a configuration with 1,700 routes, whose names compress badly. */
const largeText = Array.from(
  { length: 25_000 },
  (_unused, index) => `${hashString(`${index}`).toString(36)},`,
).join('');

interface Member {
  readonly name: string;
  readonly exchange: DocumentExchange;
  readonly process: SimulatedProcess;
  /** Versions from peers, in order. */
  readonly taken: number[];
  follows: boolean;
}

function documentOf(version: number, text = 'small'): VersionedDocument {
  return { version, text: `${version} ${text}` };
}

/** A fleet of which the first members follow the source; the others ask them and each other. */
function makeFleet(size: number, seed = 1) {
  const clock = new SimulatedClock();
  const random = new RandomSource(seed);
  const network = new SimulatedNetwork({ clock, random: random.fork() });
  const names = Array.from({ length: size }, (_unused, index) => `n${index}`);
  const stop = new AbortController();
  const members: Member[] = names.map((name, index) => {
    const process = new SimulatedProcess(clock);
    const own = random.fork();
    const draw = (among: readonly string[]) => {
      const others = among.filter((other) => other !== name);
      return others[own.integerBelow(others.length)];
    };
    const member: Member = {
      name,
      process,
      taken: [],
      follows: index < watcherCount,
      exchange: new DocumentExchange({
        name: 'test',
        channel: network.connect({
          identity: { nodeId: name, incarnation: 1 },
          address: { host: '10.0.0.1', port: index + 1 },
          process,
        }),
        clock: process,
        pollIntervalMilliseconds: askIntervalMilliseconds,
        chooseAnnouncementPeers: () =>
          Array.from({ length: 4 }, () => draw(names)).filter((peer) => peer !== undefined),
        choosePollPeers: () =>
          [names.slice(0, watcherCount), ...(own.next() < 0.25 ? [names] : [])]
            .map(draw)
            .filter((peer) => peer !== undefined),
        isInOtherRegion: () => false,
        isWatchingSource: () => member.follows,
        onDocument: ({ text, version }) => {
          if (text.split(' ')[0] !== String(version)) return false;
          member.taken.push(version);
          return true;
        },
        onInvalidData: () => {},
      }),
    };
    member.exchange.run(stop.signal);
    return member;
  });
  const publish = (document: VersionedDocument) => {
    for (const { exchange, follows } of members) if (follows) exchange.publish(document);
  };
  return { clock, members, network, publish, stop };
}

// Guards against CONFIG: nodes that the store turns away, or that must not all read a large
// document over a narrow link, get each version late.
test('60 nodes, 3 of which read the source, all hold a large version within a second', async () => {
  const { clock, members, publish, stop } = makeFleet(60);
  publish(documentOf(1, largeText));
  const taken = await clock.advanceUntil(
    () => members.every(({ exchange }) => exchange.version === 1),
    5000,
  );
  stop.abort();
  assert.ok(taken !== undefined && taken < 1000, `${taken} ms`);
});

// Guards against CONFIG: versions in quick succession pile up or are put in force out of order.
test('a series of versions ends with the newest everywhere and never goes back', async () => {
  const { clock, members, network, publish, stop } = makeFleet(30, 2);
  network.lossProbability = 0.1;
  network.jitterMilliseconds = 100;
  for (let version = 1; version <= 20; version += 1) {
    publish(documentOf(version, largeText));
    await clock.advance(150);
  }
  const taken = await clock.advanceUntil(
    () => members.every(({ exchange }) => exchange.version === 20),
    5000,
  );
  stop.abort();
  assert.ok(taken !== undefined && taken < 2000, `${taken} ms`);
  for (const member of members) {
    const sorted = [...new Set(member.taken)].sort((first, second) => first - second);
    assert.deepEqual(member.taken, sorted);
  }
});

// Guards against nodes that take an outdated copy for the newest after all watchers are gone.
test('the age stays low while watchers answer, and grows once none does', async () => {
  const { clock, members, publish, stop } = makeFleet(30, 3);
  publish(documentOf(1));
  await clock.advance(10_000);
  let oldest = 0;
  for (let step = 0; step < 100; step += 1) {
    await clock.advance(100);
    oldest = Math.max(oldest, ...members.map(({ exchange }) => exchange.ageMilliseconds));
  }
  for (const member of members) member.follows = false;
  await clock.advance(3000);
  const youngest = Math.min(...members.map(({ exchange }) => exchange.ageMilliseconds));
  stop.abort();
  assert.ok(oldest < 0.55 * 3000, `oldest ${oldest} ms`);
  assert.ok(youngest >= 3000, `youngest ${youngest} ms`);
});

// Guards against an idle cost that grows with the fleet: 9 KB a second a node is allowed in all.
test('idle nodes exchange a few hundred bytes a second, whatever the size of the fleet', async () => {
  const rates: number[] = [];
  for (const size of [30, 120]) {
    const { clock, network, publish, stop } = makeFleet(size, 4);
    publish(documentOf(1, largeText));
    await clock.advance(5000);
    const before = network.trafficOf('n20')?.bytesSent ?? 0;
    await clock.advance(20_000);
    rates.push(((network.trafficOf('n20')?.bytesSent ?? 0) - before) / 20);
    stop.abort();
  }
  for (const rate of rates) assert.ok(rate < 500, `${rates.join(' and ')} bytes a second`);
});

// Guards against CONFIG: an invalid document that one peer offers is taken, or blocks a valid one.
test('a document that is not usable is not taken, and the next version is', async () => {
  const { clock, members, stop } = makeFleet(5, 5);
  const [first, ...others] = members;
  first?.exchange.publish({ version: 7, text: 'not version 7' });
  await clock.advance(3000);
  assert.ok(others.every(({ exchange }) => exchange.version === 0));
  first?.exchange.publish(documentOf(8));
  await clock.advance(3000);
  stop.abort();
  assert.ok(others.every(({ exchange }) => exchange.version === 8));
});

// Guards against messages of a broken peer that stop the exchange.
test('malformed messages change nothing', async () => {
  const { clock, members, network, stop } = makeFleet(2, 6);
  const intruder = network.connect({
    identity: { nodeId: 'x', incarnation: 1 },
    address: { host: '10.0.0.9', port: 1 },
    process: new SimulatedProcess(clock),
  });
  for (const body of [null, 'text', { version: -1 }, { version: '9' }, { offset: -4 }, []]) {
    for (const name of ['state', 'part']) {
      const call = intruder.call('n0', `test/${name}`, body, 100);
      await clock.advance(100);
      assert.equal((await call).ok, true);
    }
  }
  stop.abort();
  assert.ok(members.every(({ exchange }) => exchange.version === 0));
});
