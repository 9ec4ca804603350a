import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { CallerTimeoutEstimator } from '../CallerPatience.js';

function patienceAfter(...remaining: number[]): CallerTimeoutEstimator {
  const patience = new CallerTimeoutEstimator();
  for (const milliseconds of remaining) patience.estimateElapsed('reads', milliseconds);
  return patience;
}

describe('how long a caller has waited before', () => {
  it('returning callers: guards against a returned request that counts as a first attempt', () => {
    const patience = patienceAfter(2500, 2500, 2500, 1900, 2500, 2500);
    assert.equal(patience.estimateElapsed('reads', 1900), 600);
    assert.equal(patience.estimateElapsed('reads', 2500), 0);
  });

  it('guards against first attempts that count as returned beside a few patient callers', () => {
    const patience = patienceAfter(2500, 9000, 2500, 2500, 2500, 2500, 2500, 2500);
    assert.equal(patience.estimateElapsed('reads', 2500), 0);
  });

  it('retry storm: guards against returned requests that pass for first attempts', () => {
    // Half of the requests have come back.
    const patience = patienceAfter(2500, 1800, 2500, 1700, 2500, 1900, 2500, 1600);
    assert.equal(patience.estimateElapsed('reads', 1700), 800);
  });

  it('guards against a conclusion from too few requests', () => {
    assert.equal(patienceAfter(2500).estimateElapsed('reads', 100), 0);
  });

  it('guards against memory that routes leave behind', () => {
    const patience = patienceAfter(2500, 2500, 2500, 2500);
    patience.retain(new Set());
    assert.equal(patience.estimateElapsed('reads', 100), 0);
  });
});
