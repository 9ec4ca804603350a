import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Slowness } from '../Slowness.js';

const usual = { read: 60, report: 600 };

describe('slowness of a backend server', () => {
  it('mixed kinds: guards against a host that counts as slow after requests of a long kind', () => {
    const slowness = new Slowness();
    for (let index = 0; index < 40; index += 1) slowness.record(usual.read, usual.read);
    for (let index = 0; index < 20; index += 1) slowness.record(usual.report, usual.report);
    assert.ok(Math.abs(slowness.with([]) - 1) < 0.05);
  });

  it('straggler: tells a host that takes three times as long for each kind', () => {
    const slowness = new Slowness();
    for (let index = 0; index < 60; index += 1) {
      const kind = index % 2 === 0 ? usual.read : usual.report;
      slowness.record(kind * 3, kind);
    }
    assert.ok(slowness.with([]) > 2.5);
  });

  it('grey failure: tells a host that stops answering before its first late answer', () => {
    const slowness = new Slowness();
    for (let index = 0; index < 40; index += 1) slowness.record(usual.read, usual.read);
    const stuck = Array.from({ length: 4 }, () => ({ work: 600, expectedWork: usual.read }));
    assert.ok(slowness.with(stuck) > 2);
  });

  it('guards against one cut request that outweighs all others', () => {
    const slowness = new Slowness();
    for (let index = 0; index < 40; index += 1) slowness.record(usual.read, usual.read);
    slowness.record(30_000, usual.read);
    assert.ok(slowness.with([]) < 1.5);
  });
});
