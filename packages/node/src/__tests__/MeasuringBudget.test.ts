import { Distance } from '@hickorybridge/types';
import { systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MeasuringBudget } from '../MeasuringBudget.js';

const { otherRegion, sameRegion } = Distance;

function createBudget(): { budget: MeasuringBudget; advance: (milliseconds: number) => void } {
  let now = 0;
  const budget = new MeasuringBudget({
    settings: () => ({ regionBytesPerSecond: 40_000, linkBytesPerSecond: 4000 }),
    nodesInRegion: () => 4,
    clock: { ...systemClock, now: () => now },
  });
  const advance = (milliseconds: number) => {
    now += milliseconds;
  };
  return { budget, advance };
}

test('control traffic beyond the share of the link is refused until it is earned again', () => {
  const { budget, advance } = createBudget();
  let spent = 0;
  while (budget.permits('state/push', otherRegion)) {
    budget.spend(otherRegion, 500);
    spent += 500;
  }
  assert.equal(spent, 20_000, 'a share of 1,000 B/s, saved up for 20 s');
  assert.equal(budget.rejectedCalls, 1);
  assert.ok(budget.permits('state/push', sameRegion), 'the region has a budget of its own');
  advance(1000);
  assert.ok(budget.permits('state/push', otherRegion));
});

test('heartbeats go on when the budget is used up, and others make room for them', () => {
  const { budget, advance } = createBudget();
  budget.spend(sameRegion, 210_000);
  assert.ok(budget.permits('beat', sameRegion));
  advance(500);
  assert.ok(!budget.permits('state/push', sameRegion));
  advance(1000);
  assert.ok(budget.permits('state/push', sameRegion));
});
