import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@hickorybridge/utils';
import fc from 'fast-check';
import {
  compareVersions,
  Disseminator,
  MonotonicRegister,
  SimulatedClock,
  SimulatedNetwork,
  SimulatedProcess,
  type VersionedEntry,
  VersionedTable,
} from '../index.js';

const entry = fc.record({
  key: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
  version: fc.record({ major: fc.nat(3), minor: fc.nat(3) }, { noNullPrototype: true }),
  removed: fc.boolean(),
});

// The value and the mark follow from the version, as in a system with one writer for each version.
const entries = fc.array(
  entry.map((made): VersionedEntry<string> => ({
    ...made,
    removed: made.version.minor === 3,
    value: `${made.key}-${made.version.major}-${made.version.minor}`,
  })),
  { maxLength: 30 },
);

// Guards against a table whose content depends on the order in which messages arrive.
test('a table ends the same in whatever order its entries arrive', () => {
  const property = fc.property(entries, fc.nat(1000), (made, seed) => {
    const random = new RandomSource(seed);
    const shuffled = made
      .map((item) => ({ item, order: random.next() }))
      .sort((first, second) => first.order - second.order)
      .map(({ item }) => item);
    const [first, second] = [made, [...shuffled, ...made]].map((list) => {
      const table = new VersionedTable<string>();
      for (const item of list) table.apply(item);
      return table;
    });
    assert.equal(first?.hash(), second?.hash());
    for (const { key } of made) assert.deepEqual(first?.get(key), second?.get(key));
  });
  fc.assert(property, { seed: 1, numRuns: 300 });
});

// Guards against equal hashes of different tables, and against removed entries that keep peers busy.
test('two tables have the same hash when, and only when, their live entries are the same', () => {
  const property = fc.property(entries, entries, (one, other) => {
    const [first, second] = [one, other].map((list) => {
      const table = new VersionedTable<string>();
      for (const item of list) table.apply(item);
      return table;
    });
    const live = (table: VersionedTable<string> | undefined) =>
      [...(table?.values() ?? [])]
        .filter(({ removed }) => !removed)
        .map(({ value }) => value)
        .sort()
        .join();
    assert.equal(first?.hash() === second?.hash(), live(first) === live(second));
  });
  fc.assert(property, { seed: 2, numRuns: 300 });
});

interface Peer {
  readonly table: VersionedTable<string>;
  readonly disseminator: Disseminator<string>;
  readonly process: SimulatedProcess;
}

function makePeers(count: number, seed: number) {
  const clock = new SimulatedClock();
  const random = new RandomSource(seed);
  const network = new SimulatedNetwork({ clock, random: random.fork() });
  const names = Array.from({ length: count }, (_, index) => `p${index}`);
  const reverted: string[] = [];
  const peers = names.map((name, index): Peer => {
    const process = new SimulatedProcess(clock);
    const table = new VersionedTable<string>();
    const others = names.filter((other) => other !== name);
    const pick = () => others[random.integerBelow(others.length)];
    const newest = new Map<string, VersionedEntry<string>>();
    const disseminator = new Disseminator<string>({
      name: 'test',
      table,
      clock: process,
      channel: network.connect({
        identity: { nodeId: name, incarnation: 1 },
        address: { host: '10.0.0.1', port: index },
        process,
      }),
      parseValue: (_, value) => (typeof value === 'string' ? value : undefined),
      choosePushTargets: () => [pick() ?? '', pick() ?? ''],
      chooseExchangePeer: pick,
      onApplied: (applied) => {
        const before = newest.get(applied.key);
        if (before !== undefined && compareVersions(applied.version, before.version) <= 0) {
          reverted.push(`${name}: ${applied.key}`);
        }
        newest.set(applied.key, applied);
      },
    });
    disseminator.run();
    return { table, disseminator, process };
  });
  return { clock, network, peers, reverted };
}

// Guards against values that get lost, or go back, when messages are lost, late or out of order.
test('all peers hold the newest values some seconds after the last fault', async () => {
  const step = fc.record({
    peer: fc.nat(5),
    action: fc.constantFrom('publish', 'publish', 'large', 'pause', 'resume', 'cut', 'heal'),
    milliseconds: fc.integer({ min: 1, max: 1500 }),
  });
  const property = fc.asyncProperty(
    fc.array(step, { maxLength: 25 }),
    fc.nat(1000),
    async (steps, seed) => {
      const { clock, network, peers, reverted } = makePeers(6, seed);
      network.lossShare = 0.3;
      network.jitterMilliseconds = 400;
      let minor = 0;
      for (const { peer, action, milliseconds } of steps) {
        minor += 1;
        const key = `key-${minor % 4}`;
        const value = action === 'large' ? 'x'.repeat(5000) : `value-${minor}`;
        const version = { major: 1, minor };
        if (action === 'publish' || action === 'large') {
          peers[peer]?.disseminator.publish({ key, version, removed: false, value });
        }
        if (action === 'pause') peers[peer]?.process.pause();
        if (action === 'resume') peers[peer]?.process.resume();
        // One-way cut: the peer hears the others, but nobody hears it.
        if (action === 'cut') network.setPartition((from) => from === `p${peer}`);
        if (action === 'heal') network.setPartition();
        await clock.advance(milliseconds);
      }
      network.lossShare = 0;
      network.setPartition();
      for (const peer of peers) peer.process.resume();
      await clock.advance(15_000);
      const hashes = new Set(peers.map(({ table }) => table.hash()));
      assert.equal(hashes.size, 1, 'the tables differ 15 s after the last fault');
      assert.deepEqual(reverted, []);
      for (const { disseminator } of peers) await disseminator[Symbol.asyncDispose]();
    },
  );
  await fc.assert(property, { seed: 3, numRuns: 40 });
});

// Guards against an idle cost that grows with the number of entries.
test('peers with the same thousand entries exchange one hash a second', async () => {
  const { clock, network, peers } = makePeers(4, 1);
  for (let index = 0; index < 1000; index += 1) {
    const made = { key: `key-${index}`, version: { major: 1, minor: 1 }, removed: false };
    for (const { table } of peers) table.apply({ ...made, value: 'x'.repeat(100) });
  }
  const before = network.trafficOf('p0')?.bytesSent ?? 0;
  await clock.advance(60_000);
  const bytesPerSecond = ((network.trafficOf('p0')?.bytesSent ?? 0) - before) / 60;
  assert.ok(bytesPerSecond < 60, `${bytesPerSecond} bytes a second at idle`);
});

// Guards against messages of a broken or newer peer that stop the handler.
test('malformed messages change nothing', async () => {
  const { clock, network, peers } = makePeers(2, 1);
  const intruder = network.connect({
    identity: { nodeId: 'x', incarnation: 1 },
    address: { host: '10.0.0.9', port: 1 },
    process: new SimulatedProcess(clock),
  });
  const property = fc.asyncProperty(
    fc.constantFrom('push', 'digest', 'reconcile'),
    fc.oneof(
      fc.jsonValue(),
      fc.record({
        entries: fc.array(fc.jsonValue()),
        offers: fc.array(fc.jsonValue()),
        buckets: fc.array(fc.jsonValue()),
        stamps: fc.jsonValue(),
      }),
    ),
    async (name, body) => {
      const call = intruder.call('p0', `test/${name}`, body, 100);
      await clock.advance(100);
      assert.equal((await call).ok, true);
      assert.equal(peers[0]?.table.size, 0);
    },
  );
  await fc.assert(property, { seed: 4, numRuns: 100 });
});

// Guards against a register that a late message sets back.
test('a register holds the highest number and tells of each rise once', () => {
  const property = fc.property(fc.array(fc.integer({ min: 1, max: 20 })), (numbers) => {
    const register = new MonotonicRegister<number>((value) => value);
    const told: number[] = [];
    register.onChange((value) => told.push(value));
    for (const number of numbers) register.offer(number);
    assert.equal(register.number, Math.max(0, ...numbers));
    assert.ok(told.every((number, index) => index === 0 || number > (told[index - 1] ?? 0)));
  });
  fc.assert(property, { seed: 5, numRuns: 200 });
});
