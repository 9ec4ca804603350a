import { createLogger } from '@hickorybridge/logger';
import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { handleProcessFaults } from '../handleProcessFaults.js';

/** Handles the faults of a stub process; the events are listed in their order. */
function handleFaults() {
  const process = new EventEmitter();
  const events: string[] = [];
  handleProcessFaults({
    process,
    node: {
      stop: async () => {
        events.push('stop');
        await sleep(20);
        events.push('stopped');
      },
    },
    exit: (code) => events.push(`exit ${code}`),
    logger: createLogger({
      level: 'info',
      format: 'json',
      write: (line) => events.push((JSON.parse(line) as { event: string }).event),
    }),
  });
  return { events, process };
}

describe('faults of the process', () => {
  it('guards against an uncaught exception that cuts off all open requests', async () => {
    const { events, process } = handleFaults();
    process.emit('uncaughtException', new Error('a fault'));
    process.emit('uncaughtException', new Error('another fault while the node stops'));
    await sleep(50);
    assert.deepEqual(events, [
      'uncaught-exception',
      'stop',
      'uncaught-exception',
      'stopped',
      'exit 1',
    ]);
  });

  it('guards against a rejected promise that ends the node', async () => {
    const { events, process } = handleFaults();
    process.emit('unhandledRejection', new Error('a fault'));
    await sleep(50);
    assert.deepEqual(events, ['unhandled-rejection']);
  });
});
