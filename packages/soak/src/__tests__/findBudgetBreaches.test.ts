import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { checkRun } from '../checks/checkRun.js';
import { TestRecord } from './TestRecord.js';

function breachesIn(record: TestRecord): string[] {
  return checkRun(record.events)
    .breaches.filter(({ rule }) => rule === 'BUDGET')
    .map(({ cause }) => cause);
}

/** Requests of which each arrives twice, 10 ms apart in time. */
function repeated(count: number, gap = 10): TestRecord {
  const record = new TestRecord().startNode('a').startNode('b');
  for (let index = 0; index < count; index += 1) {
    const at = 20_000 + index * gap;
    record
      .send(at, `r${index}`)
      .arrive(at + 1, `r${index}`)
      .arrive(at + 2, `r${index}`, { backend: 'i-2' });
  }
  return record;
}

describe('the check of BUDGET', () => {
  it('guards against more repeats in a window than the budget', () => {
    // 75 requests allow 0.2 x 75 + 60 = 75 repeats.
    assert.deepEqual(breachesIn(repeated(75)), []);
    assert.equal(breachesIn(repeated(76)).length, 1);
    assert.deepEqual(breachesIn(repeated(200, 200)), []);
  });

  it('guards against calls below a repeat that are not counted', () => {
    const record = new TestRecord().startNode('a').startNode('b');
    for (let index = 0; index < 61; index += 1) {
      const id = `c${index}`;
      record
        .send(20_000 + index, id, { parent: 'r', belowRepeat: true })
        .arrive(20_001 + index, id);
    }
    assert.deepEqual(breachesIn(record), [
      '61 repeats at fleet-view within 10000 ms, 60 allowed; 61 are calls below a repeat',
    ]);
  });

  it('guards against requests that run on more backend servers than allowed', () => {
    const record = new TestRecord().startNode('a').startNode('b');
    const add = (id: string) => {
      record.send(20_000, id, { maxAttempts: 2 });
      for (const backend of ['i-1', 'i-2', 'i-3']) record.arrive(20_010, id, { backend });
    };
    for (const id of ['r1', 'r2', 'r3']) add(id);
    assert.deepEqual(breachesIn(record), []);
    add('r4');
    assert.equal(breachesIn(record).length, 4);
  });

  it('guards against Deadline-Ms that is absent or longer than what is left', () => {
    const late = (count: number, passedOn: number, deadlineMilliseconds: number) => {
      const record = new TestRecord().startNode('a').startNode('b');
      for (let index = 0; index < passedOn; index += 1) {
        const fields = index < count ? { deadlineMilliseconds } : {};
        record.send(20_000, `r${index}`).arrive(21_000, `r${index}`, fields);
      }
      return breachesIn(record).length;
    };
    assert.equal(late(21, 100, 2001), 21);
    assert.equal(late(20, 90, 2001), 0, '20 arrivals are allowed');
    assert.equal(late(21, 105, 2001), 0, 'a fifth of the arrivals is allowed');
    assert.equal(late(21, 100, 2000), 0, '0.5 s are allowed');
    const absent = new TestRecord().startNode('a').startNode('b');
    for (let index = 0; index < 21; index += 1) {
      absent.send(20_000, `r${index}`).add(20_010, {
        type: 'arrived',
        id: `r${index}`,
        backend: 'i-1',
        node: 'b',
        service: 'fleet-view',
        accepted: true,
      });
    }
    assert.equal(breachesIn(absent).length, 21);
  });

  it('counts no deadlines of nodes that are out of touch', () => {
    const record = new TestRecord().startNode('a').startNode('b');
    record.signal(18_000, 'SIGSTOP').signal(19_500, 'SIGCONT');
    for (let index = 0; index < 30; index += 1) {
      record.send(20_000, `r${index}`).arrive(21_000, `r${index}`, { deadlineMilliseconds: 2400 });
    }
    const { breaches, counts } = checkRun(record.events);
    assert.equal(breaches.length, 0);
    assert.equal(counts.longDeadlinesOutOfTouch, 30);
  });
});
