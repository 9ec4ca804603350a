import { silentLogger, type Logger } from '@hickorybridge/logger';
import type { RemovingStore, StoreUnavailable, WatchResult } from '@hickorybridge/store';
import { fail, succeed, type Result } from '@hickorybridge/types';
import { RandomSource, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { StoreFollower } from '../StoreFollower.js';

const waitMilliseconds = 10_000;

/** A store whose watches wait until they are cancelled or their time is over. */
function makeStore() {
  const calls: { wait: number; open: boolean }[] = [];
  const state = { down: false };
  const watch = async (
    _prefix: string,
    revision: number,
    wait: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResult, StoreUnavailable>> => {
    const call = { wait, open: true };
    calls.push(call);
    if (state.down) {
      call.open = false;
      return fail({ type: 'store-unavailable', detail: 'down' });
    }
    if (revision > 0) await systemClock.sleep(wait, signal);
    call.open = false;
    if (signal?.aborted) return fail({ type: 'store-unavailable', detail: 'cancelled' });
    return succeed({ revision: 1, changed: [] });
  };
  return { calls, state, store: { watch } as unknown as RemovingStore };
}

function startFollower(
  t: TestContext,
  store: RemovingStore,
  options: { readonly isNeeded?: () => boolean; readonly logger?: Logger } = {},
) {
  const stop = new AbortController();
  const follower = new StoreFollower({
    store,
    prefix: 'config/',
    mayBeStale: false,
    waitMilliseconds,
    pauseMilliseconds: 0,
    onChange: () => {},
    clock: systemClock,
    random: new RandomSource(1),
    logger: silentLogger,
    ...options,
  });
  const ended = follower.run(stop.signal);
  t.after(async () => {
    stop.abort();
    await ended;
  });
  return follower;
}

describe('following the store', () => {
  it('guards against a node that follows the store although its peers do that for it', async (t) => {
    const { calls, store } = makeStore();
    let isNeeded = true;
    const follower = startFollower(t, store, { isNeeded: () => isNeeded });
    await sleep(100);
    assert.equal(follower.isFollowing, true);
    assert.equal(calls.at(-1)?.open, true);
    isNeeded = false;
    await sleep(600);
    assert.equal(follower.isFollowing, false);
    assert.ok(calls.every(({ open }) => !open));
    const count = calls.length;
    await sleep(600);
    assert.equal(calls.length, count);
    isNeeded = true;
    await sleep(600);
    assert.equal(calls.at(-1)?.open, true);
  });

  it('guards against a store that counts as lost until something changes in it', async (t) => {
    const { calls, state, store } = makeStore();
    const events: string[] = [];
    const record = (event: string) => events.push(event);
    const logger: Logger = { ...silentLogger, info: record, warn: record };
    state.down = true;
    const follower = startFollower(t, store, { logger });
    await sleep(150);
    assert.equal(follower.isFollowing, false);
    state.down = false;
    // The longest delay between two calls, of which the store answers the first one.
    await sleep(1000);
    assert.deepEqual(events, ['store-lost', 'store-regained']);
    assert.equal(follower.isFollowing, true);
    assert.equal(calls.at(-1)?.wait, waitMilliseconds);
  });

  it('guards against a list that is read in spite of a renewal and thrown away', async (t) => {
    let calls = 0;
    // The first call, which lists, goes on in spite of its signal.
    const watch = async (_prefix: string, revision: number, wait: number, signal?: AbortSignal) => {
      calls += 1;
      if (revision === 0) await sleep(100);
      else await systemClock.sleep(wait, signal);
      return succeed({ revision: 5, changed: [] });
    };
    const follower = startFollower(t, { watch } as unknown as RemovingStore);
    await sleep(20);
    follower.renew();
    await sleep(200);
    assert.equal(follower.isFollowing, true);
    assert.equal(calls, 2);
  });
});
