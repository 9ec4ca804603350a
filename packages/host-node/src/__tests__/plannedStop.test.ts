import { silentLogger } from '@hickorybridge/logger';
import { systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { HostNode, type HostNodeComponents } from '../HostNode.js';

const speed = 100;
/** One tenth of a second of real time, for the delays of timers. */
const toleranceMilliseconds = 10_000;

/** Starts the shutdown of a node with stub components and a clock that runs 100 times faster. */
function stopNode({ supervisorMilliseconds = 1000, lateMilliseconds = 0 } = {}) {
  const events: string[] = [];
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
    stopAccepting: () => events.push('stopped accepting'),
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
    settings: { current: { nodeId: 'n1', bounds: { graceMilliseconds: 10_000 } } },
    backendServers: { current: undefined, load: () => undefined },
    directory: { entry: () => undefined },
    registration: { isCurrent: true },
    callers,
    pool,
    supervisor: disposable('supervisor', supervisorMilliseconds),
    disposables: [callers, pool],
    stallDetector: { unreadSince: () => systemClock.now() * speed - lateMilliseconds },
    clock: {
      ...systemClock,
      now: () => systemClock.now() * speed,
      sleep: (milliseconds: number) => systemClock.sleep(milliseconds / speed),
    },
    logger: silentLogger,
  } as unknown as HostNodeComponents;
  const node = new HostNode(components);
  return { events, state, node, stopped: node.stop() };
}

describe('a planned stop', () => {
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
