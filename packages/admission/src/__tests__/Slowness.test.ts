import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Slowness } from '../Slowness.js';

const usual = { read: 60, report: 600 };
const now = 1000;

describe('slowness of a backend server', () => {
  it('mixed kinds: guards against a host that counts as slow after requests of a long kind', () => {
    const slowness = new Slowness();
    for (let index = 0; index < 40; index += 1) slowness.record(usual.read, usual.read, now);
    for (let index = 0; index < 20; index += 1) slowness.record(usual.report, usual.report, now);
    assert.ok(Math.abs(slowness.with([], now) - 1) < 0.05);
  });

  it('straggler: tells a host that takes three times as long for each kind', () => {
    const slowness = new Slowness();
    for (let index = 0; index < 60; index += 1) {
      const kind = index % 2 === 0 ? usual.read : usual.report;
      slowness.record(kind * 3, kind, now);
    }
    assert.ok(slowness.with([], now) > 2.5);
  });

  it('grey failure: tells a host that stops answering before its first late answer', () => {
    const slowness = new Slowness();
    for (let index = 0; index < 40; index += 1) slowness.record(usual.read, usual.read, now);
    const stuck = Array.from({ length: 4 }, () => ({ work: 600, expectedWork: usual.read }));
    assert.ok(slowness.with(stuck, now) > 2);
  });

  it('guards against one cut request that outweighs all others', () => {
    const slowness = new Slowness();
    for (let index = 0; index < 40; index += 1) slowness.record(usual.read, usual.read, now);
    slowness.record(30_000, usual.read, now);
    assert.ok(slowness.with([], now) < 1.5);
  });

  it('stale slowness: guards against a host that is passed over long after it has recovered', () => {
    const slowness = new Slowness();
    for (let index = 0; index < 60; index += 1) {
      slowness.record(usual.read * 3, usual.read, now);
    }
    assert.ok(slowness.with([], now + 6000) < 1.6);
  });
});
