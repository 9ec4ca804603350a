import { silentLogger } from '@hickorybridge/logger';
import { systemClock, type Clock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';

import { HostNode, type HostNodeComponents } from '../HostNode.js';

const speed = 100;
/** One tenth of a second of real time, for the delays of timers. */
const toleranceMilliseconds = 10_000;

const fastClock: Clock = {
  ...systemClock,
  now: () => systemClock.now() * speed,
  sleep: (milliseconds) => systemClock.sleep(milliseconds / speed),
};

/** A clock on which a wait takes exactly its time, and no real time. */
function createVirtualClock(): Clock {
  let now = 0;
  return {
    now: () => now,
    wallTime: () => now,
    sleep: async (milliseconds) => {
      now += milliseconds;
      await setImmediate();
    },
  };
}

/** Starts the shutdown of a node with stub components, on a clock that runs 100 times faster. */
function stopNode({
  supervisorMilliseconds = 1000,
  lateMilliseconds = 0,
  graceMilliseconds = 10_000,
  clock = fastClock,
} = {}) {
  const events: string[] = [];
  let acceptedUntil: number | undefined;
  const state = { openRequests: 0, peerRequests: 0 };
  const disposable = (name: string, milliseconds = 0) => ({
    [Symbol.asyncDispose]: async () => {
      events.push(`${name} disposed`);
      await systemClock.sleep(milliseconds / speed);
    },
  });
  const callers = {
    ...disposable('callers'),
    get open() {
      return state.openRequests;
    },
    stopAccepting: () => {
      events.push('stopped accepting');
      acceptedUntil = clock.now();
    },
    endOpenRequests: () => {
      if (state.openRequests > 0) events.push('ended open requests');
      state.openRequests = 0;
    },
  };
  const pool = {
    ...disposable('pool'),
    get runningRequests() {
      return state.peerRequests;
    },
  };
  const components = {
    settings: { current: { nodeId: 'n1', bounds: { graceMilliseconds } } },
    backendServers: { current: undefined, load: () => undefined },
    directory: { entry: () => undefined },
    registration: { isCurrent: true },
    callers,
    pool,
    supervisor: disposable('supervisor', supervisorMilliseconds),
    disposables: [callers, pool],
    stallDetector: { unreadSince: () => clock.now() - lateMilliseconds },
    clock,
    logger: silentLogger,
  } as unknown as HostNodeComponents;
  const node = new HostNode(components);
  return { events, state, node, stopped: node.stop(), acceptedUntil: () => acceptedUntil };
}

// "The backend was still at work in the last sixth of `grace` on a request that was sent no later
// than 3 s after the SIGTERM" excuses an answer of the node in place of the backend server's.
const excusedMilliseconds = 3000;
const excusedShare = 5 / 6;

describe('a planned stop', () => {
  for (const graceMilliseconds of [2000, 4000, 6000, 7000, 10_000, 20_000, 30_000]) {
    it(`guards against requests that a grace time of ${graceMilliseconds} ms cuts off without an excuse`, async () => {
      const clock = createVirtualClock();
      const { acceptedUntil, node, state, stopped } = stopNode({ clock, graceMilliseconds });
      state.openRequests = 1;
      await stopped;
      const until = acceptedUntil() ?? Infinity;
      assert.ok(until < excusedMilliseconds, `requests are accepted for ${until} ms`);
      const endsAt = node.endsAt ?? 0;
      assert.ok(endsAt >= graceMilliseconds * excusedShare, `requests are ended at ${endsAt} ms`);
      assert.ok(endsAt < graceMilliseconds);
    });
  }

  it('guards against requests that are accepted while the process ends', async () => {
    const { events, stopped } = stopNode();
    await stopped;
    assert.equal(events[0], 'stopped accepting');
    assert.equal(events[1], 'supervisor disposed');
  });

  for (const kind of ['openRequests', 'peerRequests'] as const) {
    it(`guards against ending with ${kind} that came in the last moment`, async () => {
      const { events, state, stopped } = stopNode();
      while (!events.includes('stopped accepting')) await systemClock.sleep(1);
      state[kind] = 1;
      await systemClock.sleep(20);
      assert.deepEqual(events, ['stopped accepting']);
      state[kind] = 0;
      await stopped;
      assert.equal(events.includes('supervisor disposed'), true);
    });
  }

  it('guards against requests that are cut off without an answer at the end of the grace time', async () => {
    const { events, state, stopped } = stopNode();
    state.openRequests = 1;
    await stopped;
    assert.deepEqual(events.slice(0, 3), [
      'stopped accepting',
      'ended open requests',
      'supervisor disposed',
    ]);
  });

  it('guards against a task that does not end and delays the exit beyond the grace time', async () => {
    const startedAt = systemClock.now();
    const { state, stopped } = stopNode({ supervisorMilliseconds: 60_000 });
    state.openRequests = 1;
    await stopped;
    assert.ok((systemClock.now() - startedAt) * speed < 10_000 + toleranceMilliseconds);
  });

  // The platform kills the process at the end of the grace time, which runs from the signal.
  it('guards against requests that are killed with a node that notices the signal late', async () => {
    const startedAt = systemClock.now() * speed;
    const { node, state, stopped } = stopNode({ lateMilliseconds: 4000 });
    state.openRequests = 1;
    assert.ok((node.endsAt ?? Infinity) < startedAt + 6000 + toleranceMilliseconds / 10);
    await stopped;
    assert.equal(state.openRequests, 0);
  });

  it('guards against requests that a node accepts although its grace time is over', async () => {
    const startedAt = systemClock.now() * speed;
    const { events, node, state, stopped } = stopNode({ lateMilliseconds: 60_000 });
    state.openRequests = 1;
    assert.ok((node.endsAt ?? Infinity) < startedAt);
    await stopped;
    assert.deepEqual(events.slice(0, 2), ['stopped accepting', 'ended open requests']);
  });
});
