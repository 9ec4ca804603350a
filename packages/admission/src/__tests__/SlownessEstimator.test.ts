import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { SlownessEstimator } from '../SlownessEstimator.js';

const typicalWork = { read: 60, report: 600 };
const now = 1000;

describe('slowness estimator', () => {
  it('mixed kinds: guards against a host that is rated as slow after requests of a long kind', () => {
    const slownessEstimator = new SlownessEstimator();
    for (let index = 0; index < 40; index += 1)
      slownessEstimator.record(typicalWork.read, typicalWork.read, now);
    for (let index = 0; index < 20; index += 1)
      slownessEstimator.record(typicalWork.report, typicalWork.report, now);
    assert.ok(Math.abs(slownessEstimator.estimate([], now) - 1) < 0.05);
  });

  it('straggler: detects a host that takes three times as long for each kind', () => {
    const slownessEstimator = new SlownessEstimator();
    for (let index = 0; index < 60; index += 1) {
      const kind = index % 2 === 0 ? typicalWork.read : typicalWork.report;
      slownessEstimator.record(kind * 3, kind, now);
    }
    assert.ok(slownessEstimator.estimate([], now) > 2.5);
  });

  it('grey failure: detects a host that stops answering before its first late answer', () => {
    const slownessEstimator = new SlownessEstimator();
    for (let index = 0; index < 40; index += 1)
      slownessEstimator.record(typicalWork.read, typicalWork.read, now);
    const stuck = Array.from({ length: 4 }, () => ({ work: 600, expectedWork: typicalWork.read }));
    assert.ok(slownessEstimator.estimate(stuck, now) > 2);
  });

  it('guards against an estimate that is dominated by one aborted request', () => {
    const slownessEstimator = new SlownessEstimator();
    for (let index = 0; index < 40; index += 1)
      slownessEstimator.record(typicalWork.read, typicalWork.read, now);
    slownessEstimator.record(30_000, typicalWork.read, now);
    assert.ok(slownessEstimator.estimate([], now) < 1.5);
  });

  it('stale slowness: guards against a host that is avoided long after it has recovered', () => {
    const slownessEstimator = new SlownessEstimator();
    for (let index = 0; index < 60; index += 1) {
      slownessEstimator.record(typicalWork.read * 3, typicalWork.read, now);
    }
    assert.ok(slownessEstimator.estimate([], now + 6000) < 1.6);
  });
});
