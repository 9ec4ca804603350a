import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { waitProbability } from '../waitProbability.js';

describe('probability of waiting for a slot', () => {
  it('guards against a wrong estimate for known cases of the Erlang C formula', () => {
    // With one slot, a request waits while that slot is in use.
    for (const utilization of [0, 0.2, 0.7]) {
      assert.ok(Math.abs(waitProbability(1, utilization) - utilization) < 1e-9);
    }
    // Two slots with a load of 1: 1/3.
    assert.ok(Math.abs(waitProbability(2, 0.5) - 1 / 3) < 1e-9);
    assert.equal(waitProbability(9, 1), 1);
  });

  it('guards against an estimate that ignores how many slots share the load', () => {
    assert.ok(waitProbability(9, 0.4) < 0.03);
    assert.ok(waitProbability(3, 0.4) > 0.1);
  });
});
