import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { deploymentKey, parseAcceptedDeployment } from '@hickorybridge/configuration';
import { applyDeployment } from '../index.js';
import { MemoryStore } from './MemoryStore.js';

const clock = { now: () => 0, wallTime: () => 0, sleep: async () => {} };
const apply = (store: MemoryStore, text: string, expectedNumber?: number) =>
  applyDeployment({ store, clock, text, operator: 'test', expectedNumber });

function standing(store: MemoryStore) {
  const parsed = parseAcceptedDeployment(store.objects.get(deploymentKey)?.value ?? '');
  assert.ok(parsed.ok);
  return parsed.value;
}

describe('apply', () => {
  it('guards against the same content counting as a new change', async () => {
    const store = new MemoryStore();
    assert.equal((await apply(store, 'a')).type, 'accepted');
    assert.equal((await apply(store, 'a')).type, 'unchanged');
    assert.equal((await apply(store, 'b')).type, 'accepted');
    assert.equal(standing(store).number, 2);
  });

  it('guards against a lost answer of a write that took effect', async () => {
    const store = new MemoryStore();
    store.disturbance = (write) => {
      write();
      return { type: 'unknown', detail: 'answer lost' };
    };
    assert.equal((await apply(store, 'a')).type, 'accepted');
  });

  it('guards against calling a write refused that may still take effect', async () => {
    const store = new MemoryStore();
    store.disturbance = () => ({ type: 'unknown', detail: 'answer lost' });
    assert.equal((await apply(store, 'a')).type, 'unknown');
  });

  it('guards against two operators who both win, or who are not told of each other', async () => {
    const store = new MemoryStore();
    await apply(store, 'a');
    store.disturbance = (write) => {
      store.put(deploymentKey, JSON.stringify({ ...standing(store), number: 2, applyId: 'x' }), 1);
      return write();
    };
    const outcome = await apply(store, 'b');
    assert.equal(outcome.type, 'refused');
    assert.equal(outcome.type === 'refused' && outcome.standing?.applyId, 'x');
    assert.equal((await apply(store, 'c', 1)).type, 'refused');
    assert.equal((await apply(store, 'c', 2)).type, 'accepted');
  });

  it('guards against forgetting an own change that another one replaced at once', async () => {
    const store = new MemoryStore();
    store.disturbance = (write) => {
      write();
      const own = standing(store);
      const next = { ...own, number: 2, applyId: 'x', previousApplyId: own.applyId };
      store.put(deploymentKey, JSON.stringify(next), 1);
      return { type: 'unknown', detail: 'answer lost' };
    };
    const outcome = await apply(store, 'a');
    assert.equal(outcome.type === 'replaced' && outcome.certain, true);
  });

  it('guards against a value that the store cannot hold', async () => {
    const store = new MemoryStore();
    assert.equal((await apply(store, '#'.repeat(1_000_000))).type, 'failed');
    assert.equal(store.objects.size, 0);
  });

  it('guards against a write while the store cannot be read', async () => {
    const store = new MemoryStore();
    store.down = true;
    assert.equal((await apply(store, 'a')).type, 'failed');
  });
});
