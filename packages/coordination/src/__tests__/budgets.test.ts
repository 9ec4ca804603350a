import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  chooseHolders,
  DeduplicationWindow,
  DrainTracker,
  RetryBudget,
  SimulatedClock,
  TokenBucket,
} from '../index.js';

const pauses = fc.array(fc.integer({ min: 0, max: 3000 }), { minLength: 1, maxLength: 60 });

// Guards against a limit that pauses or bursts exceed.
test('a token bucket never gives more than its rate and burst', async () => {
  const property = fc.asyncProperty(pauses, async (steps) => {
    const clock = new SimulatedClock();
    const bucket = new TokenBucket({ tokensPerSecond: 5, burst: 3, clock });
    let taken = 0;
    for (const milliseconds of steps) {
      while (bucket.tryTake()) taken += 1;
      await clock.advance(milliseconds);
      assert.ok(taken <= 3 + (clock.now() / 1000) * 5 + 1e-6);
    }
  });
  await fc.assert(property, { seed: 1, numRuns: 100 });
});

// Guards against a waiter that never gets its tokens, and one that waits for what cannot come.
test('a taker waits for its tokens and gives up on more than the burst', async () => {
  const clock = new SimulatedClock();
  const bucket = new TokenBucket({ tokensPerSecond: 10, burst: 10, clock });
  assert.equal(await bucket.take(11), false);
  assert.equal(await bucket.take(10), true);
  const taken = bucket.take(5);
  const stop = new AbortController();
  const aborted = bucket.take(9, stop.signal);
  await clock.advance(510);
  assert.equal(await taken, true);
  stop.abort();
  assert.equal(await aborted, false);
});

// Guards against retries that multiply the load of a service that fails.
test('retries stay under their share of first tries and the minimum', async () => {
  const property = fc.asyncProperty(pauses, fc.nat(50), async (steps, firstTries) => {
    const clock = new SimulatedClock();
    const options = { share: 0.2, minimumPerSecond: 10, burst: 20, clock };
    const budget = new RetryBudget(options);
    let retries = 0;
    let first = 0;
    for (const milliseconds of steps) {
      for (let count = 0; count < firstTries; count += 1) budget.recordFirstAttempt();
      first += firstTries;
      while (budget.tryAcquireRetry()) retries += 1;
      await clock.advance(milliseconds);
      const limit = 10 + first * 0.2 + (clock.now() / 1000) * 10;
      assert.ok(retries <= limit + 1e-6, `${retries} retries over a limit of ${limit}`);
    }
  });
  await fc.assert(property, { seed: 2, numRuns: 100 });
});

// Guards against a second run of the same work within the window.
test('a key is new at most once within the window unless it was released', async () => {
  const step = fc.record({
    key: fc.constantFrom('a', 'b', 'c', 'd'),
    action: fc.constantFrom('begin', 'finish', 'release'),
    milliseconds: fc.integer({ min: 0, max: 400 }),
  });
  const property = fc.asyncProperty(fc.array(step, { maxLength: 80 }), async (steps) => {
    const clock = new SimulatedClock();
    const options = { retentionMilliseconds: 1000, capacity: 3, clock };
    const window = new DeduplicationWindow<string>(options);
    const begunAt = new Map<string, number>();
    for (const { key, action, milliseconds } of steps) {
      if (action === 'begin' && window.begin(key).type === 'new') {
        const before = begunAt.get(key);
        assert.ok(before === undefined || clock.now() - before >= 1000, `${key} ran twice`);
        begunAt.set(key, clock.now());
      }
      if (action === 'finish' && window.finish(key, 'done')) {
        assert.deepEqual(window.begin(key), { type: 'finished', value: 'done' });
      }
      if (action === 'release' && window.release(key)) begunAt.delete(key);
      assert.ok(window.size <= 3);
      await clock.advance(milliseconds);
    }
  });
  await fc.assert(property, { seed: 3, numRuns: 100 });
});

// Guards against holders that one failure takes together, and against needless moves.
test('holders stand in different failure domains and stay when others leave', () => {
  const candidates = fc.array(
    fc.record({ name: fc.nat(200), domain: fc.nat(3) }).map(({ name, domain }) => ({
      name: `n${name}-${domain}`,
      region: `r${domain % 2}`,
      failureDomain: `d${domain}`,
    })),
    { maxLength: 40 },
  );
  const property = fc.property(candidates, fc.string(), (list, key) => {
    const domains = new Set(list.map(({ failureDomain }) => failureDomain));
    const choice = chooseHolders({ key, candidates: list, count: 3 });
    assert.equal(choice.ok, domains.size >= 3);
    if (!choice.ok) return;
    const names = choice.value.map(({ name }) => name);
    assert.equal(new Set(choice.value.map(({ failureDomain }) => failureDomain)).size, 3);
    const [lost, ...kept] = names;
    const rest = list.filter(({ name }) => name !== lost);
    const next = chooseHolders({ key, candidates: rest, count: 3, current: names });
    if (!next.ok) return;
    const nextNames = next.value.map(({ name }) => name);
    assert.ok(kept.every((name) => nextNames.includes(name)));
  });
  fc.assert(property, { seed: 4, numRuns: 300 });
});

// Guards against a drain that ends while work is open, and one that never ends.
test('a drain waits for open work, takes no new work and ends at its limit', async () => {
  const clock = new SimulatedClock();
  const tracker = new DrainTracker(clock);
  const end = tracker.tryEnter();
  const endOther = tracker.tryEnter();
  const drained = tracker.drain(1000);
  assert.equal(tracker.tryEnter(), undefined);
  end?.();
  end?.();
  assert.equal(tracker.open, 1);
  await clock.advance(1000);
  assert.deepEqual(await drained, { type: 'timed-out', remaining: 1 });
  const again = tracker.drain(1000);
  endOther?.();
  await clock.advance(1);
  assert.deepEqual(await again, { type: 'drained' });
});
