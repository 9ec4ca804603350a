import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { HttpPlatformStore } from '@hickorybridge/store';
import { StandInStore } from '../index.js';

const timeoutMilliseconds = 300;

async function startStore() {
  const store = await StandInStore.start();
  const client = new HttpPlatformStore({ url: store.url, timeoutMilliseconds });
  return { store, client };
}

describe('HttpPlatformStore with StandInStore', () => {
  it('guards against a write that replaces a version its writer has not seen', async () => {
    const { store, client } = await startStore();
    assert.deepEqual(await client.writeConditional('leases/keeper', 'a', 1), {
      type: 'refused',
      current: undefined,
    });
    assert.deepEqual(await client.writeConditional('leases/keeper', 'a', 0), {
      type: 'done',
      version: 1,
    });
    const refused = await client.writeConditional('leases/keeper', 'b', 0);
    assert.equal(refused.type, 'refused');
    assert.equal(refused.type === 'refused' && refused.current?.value, 'a');
    assert.equal((await client.writeConditional('leases/keeper', 'ñ', 1)).type, 'done');
    const read = await client.read('leases/keeper');
    assert.deepEqual(read.ok && read.value, { key: 'leases/keeper', value: 'ñ', version: 2 });
    await client[Symbol.asyncDispose]();
    await store[Symbol.asyncDispose]();
  });

  it('guards against a lost answer that is taken for a refused write', async () => {
    const { store, client } = await startStore();
    store.setFaults({ loseWriteAnswers: 1 });
    assert.equal((await client.writeConditional('claims/view', 'v', 0)).type, 'unknown');
    const read = await client.read('claims/view');
    assert.equal(read.ok && read.value?.value, 'v');
    store.setFaults({ slowMilliseconds: 2 * timeoutMilliseconds });
    assert.equal((await client.writeConditional('claims/view', 'w', 1)).type, 'unknown');
    store.setFaults({ slowMilliseconds: 0, down: true });
    assert.equal((await client.read('claims/view')).ok, false);
    assert.equal((await client.list('claims/')).ok, false);
    await client[Symbol.asyncDispose]();
    const { url } = store;
    await store[Symbol.asyncDispose]();
    const later = new HttpPlatformStore({ url, timeoutMilliseconds });
    assert.equal((await later.writeConditional('claims/view', 'x', 1)).type, 'unknown');
    await later[Symbol.asyncDispose]();
  });

  it('guards against a watch that misses a change, polls, or waits for a lost revision', async () => {
    const { store, client } = await startStore();
    await client.writeConditional('rosters/south-1', 'r1', 0);
    const first = await client.watch('rosters/', 0, 1_000);
    assert.ok(first.ok);
    assert.equal(first.value.changed.length, 1);
    const waiting = client.watch('rosters/', first.value.revision, 2_000);
    await client.writeConditional('leases/other', 'x', 0);
    assert.equal(store.calls.waitingWatches, 1);
    await client.writeConditional('rosters/north-1', 'r2', 0);
    const second = await waiting;
    assert.deepEqual(second.ok && second.value.changed.map((object) => object.key), [
      'rosters/north-1',
    ]);
    assert.equal(store.calls.watches, 2);
    const restarted = await client.watch('rosters/', 1_000, 1_000);
    assert.equal(restarted.ok && restarted.value.changed.length, 2);
    await client[Symbol.asyncDispose]();
    await store[Symbol.asyncDispose]();
  });
});
