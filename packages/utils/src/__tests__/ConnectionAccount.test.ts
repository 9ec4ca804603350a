import assert from 'node:assert/strict';
import { it, type TestContext } from 'node:test';

import { ConnectionAccount, EvictionReason, type ConnectionShare } from '../index.js';

const megabyte = 1024 * 1024;

function createAccount(t: TestContext) {
  let now = 0;
  const closed: string[] = [];
  const account = new ConnectionAccount({
    maxBytes: 4 * megabyte,
    maxConnections: { callers: 3 },
    maxStalledBodies: 1,
    maxWaitingRequests: 2,
    clock: { now: () => now, wallTime: () => now, sleep: async () => {} },
  });
  t.after(() => account[Symbol.asyncDispose]());
  const open = (name: string, state = { isBusy: false, awaitsBody: false }) =>
    account.open('callers', {
      get isBusy() {
        return state.isBusy;
      },
      get awaitsBody() {
        return state.awaitsBody;
      },
      close: (reason: EvictionReason) => closed.push(`${name} ${reason}`),
    }) as ConnectionShare;
  const pass = (milliseconds: number) => {
    now += milliseconds;
  };
  return { account, closed, open, pass };
}

it('guards against a busy upload that is closed in place of a client that holds its bytes', (t) => {
  const { account, closed, open } = createAccount(t);
  const upload = open('upload');
  const holder = open('holder');
  upload.recordReceived(8 * megabyte);
  upload.hold(2 * megabyte);
  holder.hold(1.9 * megabyte);
  open('third').hold(0.3 * megabyte);
  assert.deepEqual(closed, [`holder ${EvictionReason.memory}`]);
  assert.ok(account.heldBytes < 4 * megabyte);
});

it('guards against a new caller that finds all connections taken by idle ones', (t) => {
  const { account, closed, open, pass } = createAccount(t);
  open('busy', { isBusy: true, awaitsBody: false });
  open('idle');
  pass(1000);
  open('recent').recordReceived(100);
  pass(10);
  assert.ok(open('new') !== undefined);
  assert.deepEqual(closed, [`idle ${EvictionReason.connections}`]);
  assert.equal(account.counts.get('callers'), 3);
});

it('guards against bodies that stall and occupy backend servers', (t) => {
  const { account, closed, open } = createAccount(t);
  const waiting = { isBusy: false, awaitsBody: true };
  open('first', waiting);
  open('second', waiting);
  const slow = open('slow', waiting);
  for (let tick = 0; tick < 3; tick += 1) {
    slow.recordReceived(2048);
    account.tick();
  }
  assert.deepEqual(closed, [`first ${EvictionReason.stalled}`]);
});

it('guards against requests read ahead that are still counted after their connection is gone', (t) => {
  const { account, open } = createAccount(t);
  const share = open('pipelining');
  share.setWaitingRequests(2);
  assert.equal(account.mayReadAhead, false);
  share.release();
  assert.equal(account.mayReadAhead, true);
  assert.equal(account.heldBytes, 0);
});
