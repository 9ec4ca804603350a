import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { checkRun } from '../checks/checkRun.js';
import { nameCause } from '../checks/explain.js';
import { indexRun } from '../checks/RunIndex.js';
import { TestRecord } from './TestRecord.js';

function causesOf(record: TestRecord): string[] {
  return checkRun(record.events)
    .breaches.filter(({ rule }) => rule === 'FAULT')
    .map(({ cause }) => cause);
}

describe('the check of FAULT', () => {
  it('guards against an end by SIGHUP that passes as asked for', () => {
    const record = new TestRecord()
      .add(0, { type: 'node-started', node: 'a', processId: 1 })
      .signal(14, 'SIGHUP')
      .endNode(15, null, 'SIGHUP');
    assert.deepEqual(causesOf(record), [
      'the process ended by itself by SIGHUP, 15 ms after its start',
    ]);
    const [breach] = checkRun(record.events).breaches;
    assert.ok(breach);
    assert.match(nameCause(breach, indexRun(record.events)), /SIGHUP 14 ms after the start/);
  });

  it('guards against an end other than with 0 after SIGTERM that passes', () => {
    const ended = (code: number | null, signal: string | null) =>
      causesOf(new TestRecord().startNode('a').signal(900, 'SIGTERM').endNode(950, code, signal));
    assert.deepEqual(ended(0, null), []);
    assert.equal(ended(1, null).length, 1);
    assert.equal(ended(null, 'SIGTERM').length, 1);
  });

  it('guards against an end with code 0 that nobody asked for', () => {
    assert.equal(causesOf(new TestRecord().startNode('a').endNode(950, 0)).length, 1);
  });

  it('counts no kill by the soak as an end by itself', () => {
    const record = new TestRecord()
      .startNode('a')
      .signal(900, 'SIGKILL')
      .endNode(905, null, 'SIGKILL');
    assert.deepEqual(causesOf(record), []);
  });

  it('guards against a node that is never ready', () => {
    const started = () =>
      new TestRecord().add(0, { type: 'node-started', node: 'a', processId: 1 });
    assert.deepEqual(causesOf(started().add(12_000, { type: 'load', factor: 1 })), [
      'the process was not ready 12000 ms after its start',
    ]);
    const held = started()
      .add(10, { type: 'port-held', node: 'a', port: 1 })
      .add(3010, { type: 'port-freed', node: 'a', port: 1 })
      .add(12_000, { type: 'node-ready', node: 'a' });
    assert.deepEqual(causesOf(held), []);
  });
});
