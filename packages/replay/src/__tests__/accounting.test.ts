import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { account, Told } from '../index.js';
import type { CallerRecord, PlacedRun } from '../index.js';

function record(mark: string, told: Told, changes: Partial<CallerRecord> = {}): CallerRecord {
  return {
    mark,
    key: undefined,
    service: 'laboratory',
    kind: 'order-sample-cut',
    idempotent: false,
    region: 'minas',
    nodeId: 'node-1',
    told,
    status: 200,
    problem: undefined,
    requestId: `request-${mark}`,
    replayed: false,
    bytesRight: true,
    sentAt: 0,
    milliseconds: 1,
    ...changes,
  };
}

function run(mark: string, idempotencyKey?: string): PlacedRun {
  const placed = { requestId: '', idempotencyKey, mark, start: 10_000, end: 1 };
  return { hostId: 'laboratory-1', run: { ...placed, state: 'completed' } };
}

const evidence = { records: [], runs: [], leavings: [], disturbedNodes: new Set<string>() };

describe('account', () => {
  it('guards against a lie to a caller that is not counted', () => {
    const accounting = account({
      ...evidence,
      records: [record('a', Told.notRun), record('b', Told.answered), record('c', Told.answered)],
      runs: [run('a'), run('c')],
    });
    assert.equal(accounting.notRunThatRan, 1);
    assert.equal(accounting.answeredWithoutRun, 1);
  });

  it('guards against a second run of a key that is not counted', () => {
    const records = [
      record('a', Told.answered, { key: 'k' }),
      record('b', Told.answered, { key: 'k', replayed: true }),
    ];
    assert.equal(account({ ...evidence, records, runs: [run('a', 'k')] }).ranTwice, 0);
    const runs = [run('a', 'k'), run('b', 'k')];
    assert.equal(account({ ...evidence, records, runs }).ranTwice, 1);
  });

  it('guards against an unfounded already-claimed that is taken for a repetition', () => {
    const problem = 'urn:hickorybridge:problem:already-claimed';
    const records = [
      record('a', Told.answered, { key: 'k' }),
      record('b', Told.unknown, { key: 'k', problem }),
      record('c', Told.unknown, { key: 'l', problem }),
    ];
    assert.equal(account({ ...evidence, records }).alreadyClaimed, 1);
  });

  it('guards against cut-off connections and late work that are excused too widely', () => {
    const records = [record('a', Told.cutOff), record('b', Told.cutOff, { nodeId: 'node-2' })];
    const leavings = [{ hostId: 'laboratory-1', from: 5_000, until: Infinity }];
    const accounting = account({
      records,
      runs: [run('a')],
      leavings,
      disturbedNodes: new Set(['node-2']),
    });
    assert.equal(accounting.cutOff, 1);
    assert.equal(accounting.cutOffByFault, 1);
    assert.equal(accounting.workAfterLeaving, 1);
  });
});
