import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FlightRecorder } from '../index.js';

const clock = { now: () => 5, wallTime: () => 1_000, sleep: async () => {} };
const start = { side: 'router', service: 'hire', kind: 'create' } as const;

describe('flight recorder', () => {
  it('guards against growth without bound and against losing failed requests early', () => {
    const recorder = new FlightRecorder({ nodeId: 'a', clock, capacity: 10, failureCapacity: 2 });
    for (let count = 0; count < 100; count += 1) {
      const record = recorder.begin({ ...start, requestId: `r${count}` });
      record.add({ type: 'claim', result: 'granted' });
      record.end(count === 3 ? 'unknown' : 'answered');
    }
    const remembered = (id: string) => recorder.find(id).length === 1;
    assert.ok(remembered('r3'), 'the failed request was forgotten');
    assert.ok(!remembered('r4') && !remembered('r89'), 'old requests are still held');
    assert.ok(remembered('r90') && remembered('r99'));
    for (let count = 0; count < 2; count += 1) {
      recorder.begin({ ...start, requestId: `f${count}` }).end('not-run', 'overloaded');
    }
    assert.ok(!remembered('r3'), 'the ring of failures is not bounded');
    assert.equal(recorder.find('f1')[0]?.end?.problem, 'overloaded');
  });

  it('guards against unbounded steps and a changed end', () => {
    const recorder = new FlightRecorder({ nodeId: 'a', clock });
    const record = recorder.begin({ ...start, requestId: 'r' });
    for (let count = 0; count < 40; count += 1) record.add({ type: 'cancelled', reason: 'test' });
    record.end('unknown');
    record.end('answered');
    const [explanation] = recorder.find('r');
    assert.equal(explanation?.steps.length, 32);
    assert.equal(explanation.droppedSteps, 8);
    assert.equal(explanation.end?.outcome, 'unknown');
  });
});
