import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { systemClock } from '../clock.js';
import { Supervisor, type TaskFailure } from '../Supervisor.js';

describe('Supervisor', () => {
  it('guards against a task that fails once and ends the process or stays away', async () => {
    const failures: TaskFailure[] = [];
    let runs = 0;
    await using supervisor = new Supervisor({
      name: 'node',
      clock: { ...systemClock, sleep: async () => {} },
      onFailure: (failure) => failures.push(failure),
    });
    supervisor.start('task', async () => {
      runs += 1;
      if (runs === 1) throw new Error('a fault');
    });
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    assert.equal(runs, 2);
    assert.deepEqual(
      failures.map(({ task }) => task),
      ['node/task'],
    );
    assert.match(failures[0]?.detail ?? '', /a fault/);
  });
});
