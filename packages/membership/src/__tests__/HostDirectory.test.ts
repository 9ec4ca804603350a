import { silentLogger, type Logger } from '@hickorybridge/logger';
import { composeVersion } from '@hickorybridge/store';
import type { HostEntry } from '@hickorybridge/types';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { HostDirectory } from '../HostDirectory.js';
import { encodeHostEntry, hostKey } from '../hostEntryCodec.js';

const entry: HostEntry = {
  nodeId: 'n1',
  peerAddress: { host: '10.0.0.1', port: 7000 },
  location: { region: 'r', failureDomain: 'd' },
  service: 's',
  backendServerId: 'b1',
  slots: 4,
  leaving: false,
};

function storedEntry(nodeId: string, version: number, changes: object = {}) {
  const fields = JSON.parse(encodeHostEntry({ ...entry, nodeId })) as object;
  return { key: hostKey(nodeId), value: JSON.stringify({ ...fields, ...changes }), version };
}

function createDirectory() {
  const ignored: unknown[] = [];
  const logger: Logger = { ...silentLogger, warn: (event) => ignored.push(event) };
  return { directory: new HostDirectory(logger), ignored };
}

const oddChanges: readonly (readonly [string, object])[] = [
  ['a port out of range', { port: 70_000 }],
  ['a negative port', { port: -1 }],
  ['a fractional port', { port: 1.5 }],
  ['a port of 0', { port: 0 }],
  ['a port beyond all integers', { port: 1e308 }],
  ['slots beyond all integers', { slots: 1e308 }],
  ['negative slots', { slots: -3 }],
  ['no slots', { slots: 0 }],
  ['a host that is no IP address', { host: 'elsewhere.example' }],
  ['an empty service', { service: '' }],
  ['the name of another host', { nodeId: 'n9' }],
  ['an overlong name', { service: 'x'.repeat(10_000) }],
];

// Another writer may leave anything among the entries of the hosts. These tests guard against an odd
// entry that is used, or that keeps a node from using the others.
describe('entries of other writers', () => {
  for (const [name, changes] of oddChanges) {
    it(`guards against ${name} in an entry that is used`, () => {
      const { directory, ignored } = createDirectory();
      const changed = [storedEntry('n1', 1), storedEntry('odd', 2, changes), storedEntry('n2', 3)];
      directory.apply({ revision: 3, changed, removed: [] });
      assert.deepEqual(
        directory.list().map(({ nodeId }) => nodeId),
        ['n1', 'n2'],
      );
      assert.deepEqual(ignored, ['host-entry-ignored']);
    });
  }

  it('guards against a log line for an odd entry each time that the list is read', () => {
    const { directory, ignored } = createDirectory();
    const changed = [storedEntry('odd', 2, { port: -1 })];
    for (const revision of [2, 3, 4]) directory.apply({ revision, changed, removed: [] });
    assert.equal(ignored.length, 1);
  });

  it('guards against a host that is lost because its entry was overwritten', () => {
    const { directory } = createDirectory();
    directory.apply({ revision: 1, changed: [storedEntry('n1', 1)], removed: [] });
    const overwritten = { key: hostKey('n1'), value: '', version: 2 };
    directory.apply({ revision: 2, changed: [overwritten], removed: [] });
    assert.equal(directory.entry('n1')?.backendServerId, 'b1', 'the last good entry stays in use');
    assert.deepEqual(directory.stored('n1'), { entry: undefined, version: 2, revision: 2 });
    directory.apply({ revision: 3, changed: [storedEntry('n1', 3)], removed: [] });
    assert.deepEqual(directory.stored('n1'), { entry, version: 3, revision: 3 });
  });
});

describe('a store that was restored from an older copy', () => {
  const namesIn = (directory: HostDirectory) => directory.list().map(({ nodeId }) => nodeId);

  it('guards against hosts that are dropped before they can write their entries again', (t) => {
    t.mock.timers.enable({ apis: ['setTimeout'] });
    const { directory } = createDirectory();
    const before = composeVersion(1, 9);
    const entries = [storedEntry('n1', before), storedEntry('n2', before)];
    directory.apply({ revision: before, changed: entries, removed: [], complete: true });
    const after = composeVersion(2, 4);
    const restored = [storedEntry('n1', after)];
    directory.apply({ revision: after, changed: restored, removed: [], complete: true });
    assert.deepEqual(namesIn(directory), ['n1', 'n2']);
    t.mock.timers.tick(2000);
    assert.deepEqual(namesIn(directory), ['n1']);
  });

  it('guards against an entry from before the restore that hides a later one', () => {
    const { directory } = createDirectory();
    const before = composeVersion(1, 9);
    directory.apply({ revision: before, changed: [storedEntry('n1', before)], removed: [] });
    const after = composeVersion(2, 4);
    const changed = [storedEntry('n1', after, { service: 's2' })];
    directory.apply({ revision: after, changed, removed: [], complete: true });
    assert.equal(directory.entry('n1')?.service, 's2');
  });
});
