import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { checkRun } from '../checks/checkRun.js';
import { TestRecord } from './TestRecord.js';

function lostIn(record: TestRecord): string[] {
  return checkRun(record.events)
    .breaches.filter(({ rule }) => rule === 'LOST')
    .map(({ requestId }) => requestId ?? '');
}

const stopAt = 20_000;

/** A node that is asked to stop while it has one request. */
function stopping(): TestRecord {
  return new TestRecord().startNode('a').signal(stopAt, 'SIGTERM');
}

describe('the check of LOST', () => {
  it('guards against a request that is passed on and cut by a stop', () => {
    const record = stopping().send(20_100, 'r').arrive(20_110, 'r').close(20_200, 'r', 20_101);
    assert.deepEqual(lostIn(record), ['r']);
  });

  it('guards against a request that is read and cut later than loss_slack', () => {
    assert.deepEqual(lostIn(stopping().send(20_100, 'r').close(20_400, 'r', 20_101)), ['r']);
    // It crosses the close: sent while the node closes the connection, and not passed on.
    assert.deepEqual(lostIn(stopping().send(20_100, 'r').close(20_200, 'r', 20_101)), []);
  });

  it('guards against a request that is cut after SIGHUP', () => {
    const record = new TestRecord()
      .startNode('a')
      .signal(19_000, 'SIGHUP')
      .send(20_000, 'r')
      .arrive(20_010, 'r')
      .close(20_200, 'r', 20_001);
    assert.deepEqual(lostIn(record), ['r']);
  });

  it('guards against an answer of its own in place of one that is worked on, after SIGTERM', () => {
    const answer = { type: 'ended', id: 'r', node: 'a', end: 'answered', kept: true } as const;
    const record = stopping()
      .send(20_100, 'r')
      .arrive(20_110, 'r')
      .add(20_300, { ...answer, status: 502, signed: false, sentAt: 20_101 })
      .add(20_301, { type: 'run-ended', id: 'r', backend: 'i-1', end: 'dropped' });
    assert.deepEqual(lostIn(record), ['r']);
  });

  it('excuses a kill, a backend server that breaks off, the time-out and the last of the grace', () => {
    const cut = (at: number) =>
      stopping().send(20_100, 'r').arrive(20_110, 'r').close(at, 'r', 20_101);
    const killed = stopping()
      .send(20_100, 'r')
      .arrive(20_110, 'r')
      .signal(20_199, 'SIGKILL')
      .close(20_200, 'r', 20_101);
    assert.deepEqual(lostIn(killed), []);
    const broken = cut(20_200).add(20_190, {
      type: 'run-ended',
      id: 'r',
      backend: 'i-1',
      end: 'broke-off',
    });
    assert.deepEqual(lostIn(broken), []);
    assert.deepEqual(lostIn(cut(21_290)), []);
    const late = { deadlineMilliseconds: 9000, timeoutMilliseconds: 9000 };
    const endOfGrace = (sentAt: number) =>
      stopping()
        .send(sentAt, 'r', late)
        .arrive(sentAt + 10, 'r')
        .close(25_900, 'r', sentAt + 1);
    assert.deepEqual(lostIn(endOfGrace(22_000)), []);
    assert.deepEqual(lostIn(endOfGrace(24_000)), ['r']);
  });

  it('guards against more than three closes of a node in touch in steady state', () => {
    const record = new TestRecord().startNode('a');
    const closes = (count: number) => {
      for (let index = 0; index < count; index += 1) {
        record
          .send(20_000, `r${index}`)
          .arrive(20_010, `r${index}`)
          .close(20_100, `r${index}`, 20_001);
      }
      return lostIn(record).length;
    };
    assert.equal(closes(3), 0);
    assert.equal(closes(4), 4);
  });

  it('counts no request that was cut beside a pause of its node', () => {
    const record = new TestRecord()
      .startNode('a')
      .signal(18_000, 'SIGSTOP')
      .signal(19_000, 'SIGCONT')
      .signal(20_000, 'SIGTERM')
      .send(20_100, 'r')
      .arrive(20_110, 'r')
      .close(20_200, 'r', 20_101);
    assert.deepEqual(lostIn(record), []);
  });

  it('blames no node for connections that another listener on its port took', () => {
    const record = stopping()
      .add(20_050, { type: 'port-held', node: 'a', port: 1 })
      .send(20_100, 'r')
      .close(20_600, 'r', 20_101);
    assert.deepEqual(lostIn(record), []);
  });

  it('blames no node while the soak itself is late', () => {
    const record = stopping()
      .send(20_100, 'r')
      .arrive(20_110, 'r')
      .close(20_600, 'r', 20_101)
      .add(20_500, { type: 'rig-stalled', milliseconds: 300 });
    assert.deepEqual(lostIn(record), []);
  });
});
