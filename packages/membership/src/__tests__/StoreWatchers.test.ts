import { silentLogger } from '@hickorybridge/logger';
import type { HostEntry } from '@hickorybridge/types';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { HostDirectory } from '../HostDirectory.js';
import { encodeHostEntry, hostKey } from '../hostEntryCodec.js';
import { StoreWatchers } from '../StoreWatchers.js';

function objectOf(nodeId: string, version: number, leaving = false) {
  const entry: HostEntry = {
    nodeId,
    peerAddress: { host: '10.0.0.1', port: 7000 },
    location: { region: nodeId.slice(0, 1), failureDomain: 'd' },
    service: 's',
    backendServerId: `b-${nodeId}`,
    slots: 4,
    leaving,
  };
  return { key: hostKey(nodeId), value: encodeHostEntry(entry), version };
}

describe('StoreWatchers', () => {
  it('guards against regions that disagree on the watchers of another region', () => {
    const names = ['a', 'b'].flatMap((region) => [1, 2, 3, 4, 5].map((each) => `${region}${each}`));
    const directory = new HostDirectory(silentLogger);
    const watchersAt = (nodeId: string) =>
      new StoreWatchers({ nodeId, region: nodeId.slice(0, 1), directory });
    const near = watchersAt('a1');
    const far = watchersAt('b1');
    directory.apply({
      revision: 1,
      complete: true,
      changed: names.map((name) => objectOf(name, 1)),
    });
    assert.deepEqual(near.ofAllRegions(), far.ofAllRegions());
    assert.equal(near.ofAllRegions().length, 6);
    assert.ok(near.others().every((nodeId) => nodeId.startsWith('a')));
    const [leaving] = near.ofAllRegions();
    assert.ok(leaving !== undefined);
    directory.apply({ revision: 2, changed: [objectOf(leaving.nodeId, 2, true)] });
    assert.ok(!far.ofAllRegions().some(({ nodeId }) => nodeId === leaving.nodeId));
    assert.equal(far.ofAllRegions().length, 6);
  });
});
