import { createLogger } from '@hickorybridge/logger';
import type {
  RemovingStore,
  StoredObject,
  StoreUnavailable,
  WriteOutcome,
} from '@hickorybridge/store';
import { fail, succeed, type HostEntry, type Result } from '@hickorybridge/types';
import { RandomSource, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import type { ListedEntry } from '../HostDirectory.js';
import { HostRegistration } from '../HostRegistration.js';
import { encodeHostEntry } from '../hostEntryCodec.js';

const entry: HostEntry = {
  nodeId: 'n1',
  peerAddress: { host: '10.0.0.1', port: 7000 },
  location: { region: 'r', failureDomain: 'd' },
  service: 's',
  backendServerId: 'b1',
  slots: 4,
  leaving: false,
};

/** What a list that is as recent as the store shows, with version 0 for no entry. */
function listed(shown: HostEntry | undefined, version: number): ListedEntry {
  return { entry: shown, version, revision: Math.max(version, 1000) };
}

type Read = Result<StoredObject | undefined, StoreUnavailable>;

interface StoreScript {
  /** Answers a read of the entry; no entry by default. */
  readonly read?: () => Read | Promise<Read>;
  readonly onRead?: (wasRegistered: boolean) => void;
}

/** Starts a registration against a store that records its writes and answers as told. */
function start(
  t: TestContext,
  answers: WriteOutcome[] = [],
  onFound: (found: HostEntry) => void = () => {},
  { read = () => succeed(undefined), onRead = () => {} }: StoreScript = {},
) {
  const writes: string[] = [];
  const lines: Record<string, unknown>[] = [];
  const answer = (write: string): Promise<WriteOutcome> => {
    writes.push(write);
    return Promise.resolve(answers.shift() ?? { type: 'done', version: 10 + writes.length });
  };
  const store = {
    read: async () => read(),
    writeConditional: (_key: string, _value: string, version: number) => answer(`put ${version}`),
    remove: (_key: string, version: number) => answer(`remove ${version}`),
  } as unknown as RemovingStore;
  const registration = new HostRegistration({
    nodeId: 'n1',
    store,
    onRead,
    onFound,
    clock: systemClock,
    random: new RandomSource(2026),
    logger: createLogger({
      level: 'info',
      format: 'json',
      fields: {},
      write: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
    }),
  });
  const stop = new AbortController();
  const running = registration.run(stop.signal);
  t.after(async () => {
    stop.abort();
    await running;
  });
  return { lines, registration, writes };
}

test('guards against a restarted node that removes the entry of its host', async (t) => {
  const { registration, writes } = start(t, [], undefined, {
    read: () => succeed({ key: 'h', value: encodeHostEntry(entry), version: 5 }),
  });
  registration.seen(listed(entry, 5));
  await sleep(30);
  assert.deepEqual(writes, []);
  registration.set(entry);
  await sleep(30);
  assert.deepEqual(writes, [], 'an entry that stands already is not written again');
});

test('guards against a restarted node that takes itself for a new one', async (t) => {
  const created = start(t);
  assert.equal(created.registration.isNew, false, 'nothing is written yet');
  created.registration.set(entry);
  const current = { key: 'hosts/n1', value: encodeHostEntry(entry), version: 5 };
  const found = start(t, [{ type: 'refused', current }]);
  found.registration.set(entry);
  const unknown = start(t, [{ type: 'unknown', detail: 'lost' }]);
  unknown.registration.set(entry);
  await sleep(300);
  assert.equal(created.registration.isNew, true);
  assert.equal(found.registration.isNew, false);
  assert.deepEqual(unknown.writes, ['put 0', 'put 0']);
  assert.equal(unknown.registration.isNew, false);
});

test('guards against an entry that stays away after a write was refused or lost', async (t) => {
  const { registration, writes } = start(t, [
    { type: 'unknown', detail: 'lost' },
    { type: 'refused', current: undefined },
  ]);
  registration.set(entry);
  await sleep(500);
  assert.deepEqual(writes, ['put 0', 'put 0', 'put 0']);
});

test('guards against an entry that another node removed', async (t) => {
  const { registration, writes } = start(t);
  registration.set(entry);
  await sleep(30);
  registration.seen(listed(undefined, 0));
  await sleep(30);
  assert.deepEqual(writes, ['put 0', 'put 0']);
});

test('guards against a leave that is overwritten because the store was not read since the restart', async (t) => {
  const current = { key: 'h', value: encodeHostEntry({ ...entry, leaving: true }), version: 5 };
  const found: boolean[] = [];
  const { registration, writes } = start(t, [{ type: 'refused', current }], ({ leaving }) => {
    found.push(leaving);
    registration.set({ ...entry, leaving: true });
  });
  registration.set(entry);
  await sleep(30);
  assert.deepEqual(found, [true]);
  assert.deepEqual(writes, ['put 0'], 'the entry of the store stands');
});

test('guards against an outage whose cause neither the log nor a metric names', async (t) => {
  const { lines, registration } = start(t, [
    { type: 'unknown', detail: 'lost' },
    { type: 'refused', current: undefined },
  ]);
  assert.equal(registration.pendingMilliseconds, 0);
  registration.set(entry);
  await sleep(30);
  assert.ok(registration.pendingMilliseconds >= 20, `${registration.pendingMilliseconds} ms`);
  await sleep(470);
  assert.equal(registration.pendingMilliseconds, 0);
  assert.deepEqual(
    lines.map(({ attempts, detail, event }) => [event, attempts, detail]),
    [
      ['host-entry-not-written', 1, 'lost'],
      ['host-entry-not-written', 2, 'the store turned the write away, or holds no entry any more'],
      ['host-entry-written', 3, undefined],
    ],
  );
});

test('guards against waiting for an entry longer than allowed, or after it was written', async (t) => {
  const { registration, writes } = start(t, [
    { type: 'unknown', detail: 'lost' },
    { type: 'refused', current: undefined },
  ]);
  await registration.waitUntilCurrent(60_000);
  registration.set(entry);
  await registration.waitUntilCurrent(10);
  assert.equal(registration.isCurrent, false);
  assert.ok(registration.pendingMilliseconds >= 5, `${registration.pendingMilliseconds} ms`);
  await registration.waitUntilCurrent(60_000);
  assert.deepEqual(writes, ['put 0', 'put 0', 'put 0']);
  assert.equal(registration.isCurrent, true);
  assert.equal(registration.pendingMilliseconds, 0);
});

test('guards against a leave that is not found because a stale list shows the wanted entry', async (t) => {
  const leaving = { ...entry, leaving: true };
  const found: HostEntry[] = [];
  const read = () => succeed({ key: 'h', value: encodeHostEntry(leaving), version: 9 });
  const { registration, writes } = start(
    t,
    [],
    (stored) => {
      found.push(stored);
      registration.set(leaving);
    },
    { read },
  );
  registration.seen({ entry, version: 5, revision: 5 });
  registration.set(entry);
  assert.equal(registration.isCurrent, false, 'the list may be stale');
  await sleep(30);
  registration.seen({ entry, version: 5, revision: 7 });
  assert.deepEqual(found, [leaving]);
  assert.deepEqual(registration.stored, leaving);
  assert.equal(registration.isCurrent, true);
  assert.deepEqual(writes, []);
});

test('guards against a write that is repeated because a stale list does not show it yet', async (t) => {
  const { registration, writes } = start(t);
  registration.set(entry);
  await sleep(30);
  registration.seen({ entry: undefined, version: 0, revision: 5 });
  await sleep(30);
  assert.deepEqual(writes, ['put 0']);
});

test('guards against a leave that is acknowledged before the entry was read', async (t) => {
  const answers: Read[] = [
    fail({ type: 'store-unavailable', detail: 'down' }),
    succeed({ key: 'h', value: encodeHostEntry(entry), version: 9 }),
  ];
  const { registration, writes } = start(t, [], undefined, {
    read: () => answers.shift() ?? succeed(undefined),
    // The node has got the notice meanwhile.
    onRead: () => registration.set({ ...entry, leaving: true }),
  });
  await registration.waitUntilCurrent(10);
  assert.deepEqual(writes, []);
  await registration.waitUntilCurrent(60_000);
  assert.deepEqual(writes, ['put 9']);
});
