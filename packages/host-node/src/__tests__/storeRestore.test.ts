import { hostPrefix } from '@hickorybridge/membership';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { createConfiguration, sendRequest, startFleet, waitUntil } from './fleet.js';

describe('a store that is restored from an older copy', () => {
  it('guards against hosts that stay lost and a configuration that goes back', async (t) => {
    const { members, store } = await startFleet(t, ['a', 'b']);
    const specOf = (name: string) => store.specOf(hostPrefix.replace('/', ''), name);
    const copy = store.copy();
    const objects = new Map([...copy.objects].filter(([key]) => !key.endsWith('/b')));
    store.put('config', 'main', createConfiguration(2));
    await waitUntil(() => members.every(({ node }) => node.configurationVersion === 2));
    store.restore({ ...copy, objects });
    assert.equal(specOf('b'), undefined);
    await waitUntil(() => specOf('b') !== undefined);
    const [first] = members;
    assert.equal(first?.node.configurationVersion, 2);
    assert.equal(first?.node.hostCount, 2);
    const port = first?.settings.listeners.callers.port ?? 0;
    assert.equal((await sendRequest(port, { path: '/reads/1' })).status, 200);
  });
});
