import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { CallerTimeoutEstimator } from '../CallerTimeoutEstimator.js';

function estimatorAfter(...remaining: number[]): CallerTimeoutEstimator {
  const estimator = new CallerTimeoutEstimator();
  for (const milliseconds of remaining) estimator.estimateElapsed('reads', milliseconds);
  return estimator;
}

describe('time that a caller has already waited', () => {
  it('guards against a retried request that counts as a first attempt', () => {
    const estimator = estimatorAfter(2500, 2500, 2500, 1900, 2500, 2500);
    assert.equal(estimator.estimateElapsed('reads', 1900), 600);
    assert.equal(estimator.estimateElapsed('reads', 2500), 0);
  });

  it('guards against first attempts that count as retries because a few callers have longer timeouts', () => {
    const estimator = estimatorAfter(2500, 9000, 2500, 2500, 2500, 2500, 2500, 2500);
    assert.equal(estimator.estimateElapsed('reads', 2500), 0);
  });

  it('retry storm: guards against retried requests that count as first attempts', () => {
    // Half of the requests are retries.
    const estimator = estimatorAfter(2500, 1800, 2500, 1700, 2500, 1900, 2500, 1600);
    assert.equal(estimator.estimateElapsed('reads', 1700), 800);
  });

  it('guards against an estimate from too few requests', () => {
    assert.equal(estimatorAfter(2500).estimateElapsed('reads', 100), 0);
  });

  it('guards against memory that removed routes keep in use', () => {
    const estimator = estimatorAfter(2500, 2500, 2500, 2500);
    estimator.retain(new Set());
    assert.equal(estimator.estimateElapsed('reads', 100), 0);
  });
});
