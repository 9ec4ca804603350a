import { RandomSource } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ClockOffset } from '../ClockOffset.js';

// The clock of a suspended host stands still. Guards against deadlines that are translated with the
// difference of before, and so reach the backend server longer than what is left.
test('suspended host: a message that is read afterwards corrects the clock difference', () => {
  const peerAhead = 7000;
  const suspended = 3000;
  const offset = new ClockOffset(0, peerAhead);
  offset.addSample(1000, 1000 + peerAhead, 1001);
  const now = 2000;
  const peerNow = now + suspended + peerAhead;
  offset.limit(peerNow - 2, now);
  const remaining = 800;
  const deadline = offset.toOwnClock(peerNow + remaining);
  assert.ok(deadline - now <= remaining + 2, `${deadline - now} ms in place of ${remaining}`);
  assert.ok(deadline - now >= remaining - 2);
});

// Guards against deadlines later than the truth after any pauses, suspensions and slow messages,
// apart from the time that the last message took.
test('a deadline is never translated later than the truth once a message was read', () => {
  const random = new RandomSource(39);
  for (let run = 0; run < 300; run += 1) {
    let own = 0;
    let peer = 50_000;
    const offset = new ClockOffset(own, peer);
    for (let step = 0; step < 40; step += 1) {
      const pause = random.next() * 5000;
      const transit = random.next() * 400;
      const action = Math.floor(random.next() * 4);
      // The host of one of them is suspended.
      if (action === 0) peer += pause;
      else if (action === 1) own += pause;
      else {
        const sentAt = own + pause;
        const peerClock = peer + pause;
        own += pause + transit;
        peer += pause + transit;
        if (action === 2) offset.addSample(sentAt, peerClock, own);
        offset.limit(peerClock, own);
        const error = offset.toOwnClock(peer) - own;
        assert.ok(error <= transit + 1e-6, `${error} ms too late after ${transit} ms on the way`);
      }
    }
  }
});

// Guards against a limit that makes deadlines earlier when no clock has stood still.
test('slow messages do not lower the clock difference', () => {
  const offset = new ClockOffset(0, 500);
  offset.limit(600, 4000);
  assert.equal(offset.toOwnClock(500), 0);
});
