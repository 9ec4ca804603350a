import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { ProcessSignals } from '../ProcessSignals.js';

/** Handles the signals of a stub process; what they lead to is listed in its order. */
function handleSignals() {
  const process = new EventEmitter();
  const events: string[] = [];
  const signals = new ProcessSignals({
    process,
    exit: (code) => events.push(`exit ${code}`),
    printError: (text) => events.push(text),
  });
  const target = {
    reload: () => events.push('reload'),
    stop: async () => {
      events.push('stop');
      await sleep(10);
      events.push('stopped');
    },
  };
  return { events, process, signals, target };
}

describe('ProcessSignals', () => {
  it('guards against a reload that is lost because it came before the settings', async () => {
    const { events, process, signals, target } = handleSignals();
    process.emit('SIGHUP');
    process.emit('SIGHUP');
    assert.deepEqual(events, []);
    signals.connect(target);
    assert.deepEqual(events, ['reload']);
    process.emit('SIGHUP');
    assert.deepEqual(events, ['reload', 'reload']);
  });

  it('guards against a process that ignores a stop before its components exist', async () => {
    for (const signal of ['SIGTERM', 'SIGINT']) {
      const { events, process, signals } = handleSignals();
      process.emit(signal);
      await sleep(0);
      assert.deepEqual(events, ['exit 0']);
      assert.ok(signals.stopping);
    }
  });

  it('guards against signals that cut a planned stop short or disturb it', async () => {
    const { events, process, signals, target } = handleSignals();
    signals.connect(target);
    for (const signal of ['SIGTERM', 'SIGTERM', 'SIGHUP', 'SIGINT']) process.emit(signal);
    await sleep(30);
    assert.deepEqual(events, ['stop', 'stopped', 'exit 0']);
  });

  it('guards against a process that stays after its stop has failed', async () => {
    const { events, process, signals } = handleSignals();
    signals.connect({ stop: () => Promise.reject(new Error('a fault')) });
    process.emit('SIGHUP');
    process.emit('SIGTERM');
    await sleep(10);
    assert.deepEqual(events, ['cannot stop as planned: Error: a fault\n', 'exit 1']);
  });
});
