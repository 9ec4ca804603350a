import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  conditionalUpdate,
  FencedLease,
  FencedWriter,
  parseFencedValue,
  SimulatedClock,
  SimulatedProcess,
  SimulatedStore,
} from '../index.js';

const durationMilliseconds = 3000;

class Candidate {
  readonly process: SimulatedProcess;

  readonly lease: FencedLease;

  readonly writer: FencedWriter;

  #writes = 0;

  constructor(
    readonly name: string,
    clock: SimulatedClock,
    store: SimulatedStore,
  ) {
    this.process = new SimulatedProcess(clock);
    const createWriteId = () => {
      this.#writes += 1;
      return `${name}/${this.#writes}`;
    };
    const shared = { store, clock: this.process, createWriteId };
    this.lease = new FencedLease({ ...shared, key: 'lease', holder: name, durationMilliseconds });
    this.writer = new FencedWriter({ ...shared, key: 'object' });
  }

  /** Renews the lease and writes under it, like a node's periodic task. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.lease.acquireOrRenew();
      const { token } = this.lease;
      // The holder may be paused here, between its check and its write.
      await this.process.sleep(50);
      if (token !== undefined) await this.writer.write(token, this.name);
      await this.process.sleep(500, signal);
    }
  }
}

// Guards against a paused holder that overwrites the data of its successor.
test('a holder that resumes after another acquired the lease is fenced off', async () => {
  const clock = new SimulatedClock();
  const store = new SimulatedStore(clock);
  const old = new Candidate('old', clock, store);
  const next = new Candidate('next', clock, store);
  const advanceAndAwait = async <Value>(
    work: Promise<Value>,
    milliseconds = 1000,
  ): Promise<Value> => {
    await clock.advance(milliseconds);
    return work;
  };
  assert.deepEqual(await advanceAndAwait(old.lease.acquireOrRenew()), { type: 'held', token: 1 });
  const oldToken = old.lease.token ?? 0;
  assert.deepEqual(await advanceAndAwait(old.writer.write(oldToken, 'old')), { type: 'done' });
  const seen = await advanceAndAwait(next.lease.acquireOrRenew(), durationMilliseconds);
  assert.equal(seen.type, 'held-by-other');
  assert.deepEqual(await advanceAndAwait(next.lease.acquireOrRenew()), { type: 'held', token: 2 });
  assert.equal(old.lease.token, undefined);
  assert.deepEqual(await advanceAndAwait(next.writer.write(2, 'next')), { type: 'done' });
  assert.deepEqual(await advanceAndAwait(old.writer.write(oldToken, 'old')), {
    type: 'fenced',
    token: 2,
  });
  assert.equal(parseFencedValue(store.peek('object')?.value ?? '')?.content, 'next');
  assert.equal((await advanceAndAwait(old.lease.acquireOrRenew())).type, 'held-by-other');
});

// Guards against two holders at once: the token in the object must never decrease.
test('the token of an object never decreases under pauses, outages and lost answers', async () => {
  const step = fc.record({
    action: fc.constantFrom('pause', 'resume', 'down', 'up', 'lose', 'slow', 'fast'),
    candidate: fc.nat(2),
    milliseconds: fc.integer({ min: 1, max: 4000 }),
  });
  const property = fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
    const clock = new SimulatedClock();
    const store = new SimulatedStore(clock);
    const stop = new AbortController();
    const candidates = ['a', 'b', 'c'].map((name) => new Candidate(name, clock, store));
    for (const candidate of candidates) candidate.run(stop.signal);
    let highest = 0;
    for (const { action, candidate, milliseconds } of steps) {
      if (action === 'pause') candidates[candidate]?.process.pause();
      if (action === 'resume') candidates[candidate]?.process.resume();
      if (action === 'down' || action === 'up') store.setDown(action === 'down');
      if (action === 'lose') store.responsesToDrop += 1;
      if (action === 'slow' || action === 'fast') {
        store.delayMilliseconds = action === 'slow' ? 700 : 2;
      }
      for (let passed = 0; passed < milliseconds; passed += 200) {
        await clock.advance(200);
        const token = parseFencedValue(store.peek('object')?.value ?? '')?.token ?? 0;
        assert.ok(token >= highest, `the token decreased from ${highest} to ${token}`);
        highest = token;
      }
    }
    store.setDown(false);
    store.delayMilliseconds = 2;
    for (const candidate of candidates) candidate.process.resume();
    await clock.advance(15_000);
    const holders = candidates.filter(({ lease }) => lease.token !== undefined);
    assert.equal(holders.length, 1, 'expected exactly one holder 15 s after the last fault');
    stop.abort();
    await clock.advance(1000);
  });
  await fc.assert(property, { seed: 20_261_204, numRuns: 60 });
});

// Guards against reporting a write that took effect as failed, or a failed write as done.
test('a conditional update reports the real outcome of a write whose answer was lost', async () => {
  const outcomes = fc.record({
    lost: fc.boolean(),
    other: fc.constantFrom('none', 'before', 'after'),
    downMilliseconds: fc.integer({ min: 0, max: 1000 }),
  });
  const property = fc.asyncProperty(outcomes, async ({ lost, other, downMilliseconds }) => {
    const clock = new SimulatedClock();
    const store = new SimulatedStore(clock);
    if (other === 'before') store.put('key', 'theirs');
    store.responsesToDrop = lost ? 1 : 0;
    const update = conditionalUpdate({
      store,
      key: 'key',
      value: 'ours',
      expectedVersion: 0,
      isOwn: (value) => value === 'ours',
      clock,
    });
    await clock.advance(3);
    if (other === 'after') store.put('key', 'theirs');
    store.setDown(true);
    await clock.advance(downMilliseconds);
    store.setDown(false);
    await clock.advance(2000);
    const outcome = await update;
    const first = other === 'before' ? 'theirs' : 'ours';
    if (outcome.type === 'done') assert.equal(first, 'ours');
    if (outcome.type === 'refused') assert.equal(first, 'theirs');
    if (outcome.type === 'unknown')
      assert.ok(
        downMilliseconds > 600,
        'the outcome stayed unknown although the store was readable',
      );
    if (outcome.type === 'superseded') assert.equal(other, 'after');
  });
  await fc.assert(property, { seed: 20_261_204, numRuns: 200 });
});

// Guards against waiting for a released lease to expire.
test('a released lease can be acquired immediately', async () => {
  const clock = new SimulatedClock();
  const store = new SimulatedStore(clock);
  const first = new Candidate('first', clock, store);
  const second = new Candidate('second', clock, store);
  const advanceAndAwait = async <Value>(work: Promise<Value>): Promise<Value> => {
    await clock.advance(10);
    return work;
  };
  await advanceAndAwait(first.lease.acquireOrRenew());
  await advanceAndAwait(first.lease.release());
  assert.deepEqual(await advanceAndAwait(second.lease.acquireOrRenew()), {
    type: 'held',
    token: 2,
  });
});
