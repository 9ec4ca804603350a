import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';

import { SharedRetryBudget, SimulatedClock } from '../index.js';

const windowMilliseconds = 10_000;
/** What the rule allows: retries for each request, and retries in each window beyond those. */
const ratio = 0.2;
const slack = 60;
/** The members use half of it. */
const options = { share: ratio / 2, slack: slack / 2, windowMilliseconds };

/** A count of requests or retries at a time. */
interface Sample {
  readonly time: number;
  readonly count: number;
}

function sumBetween(samples: readonly Sample[], after: number, until: number): number {
  return samples.reduce(
    (sum, { count, time }) => sum + (time > after && time <= until ? count : 0),
    0,
  );
}

/** Members with a budget each. Some of them know only a part of the others. */
class SimulatedMembers {
  readonly clock = new SimulatedClock();

  readonly requests: Sample[] = [];

  readonly retries: Sample[] = [];

  readonly #known: number[];

  readonly #budgets: SharedRetryBudget[];

  constructor(count: number) {
    this.#known = Array.from({ length: count }, () => 0);
    this.#budgets = this.#known.map((_, member) => this.#createBudget(member, true));
  }

  get count(): number {
    return this.#budgets.length;
  }

  /** Sends requests that all fail, and retries each as often as allowed, up to `attempts` times. */
  sendFailing(member: number, count: number, attempts: number): void {
    const budget = this.#budgets[member];
    assert.ok(budget !== undefined);
    let retries = 0;
    for (let request = 0; request < count; request += 1) {
      budget.recordFirstAttempt();
      for (let attempt = 1; attempt < attempts && budget.tryAcquireRetry(); attempt += 1) {
        retries += 1;
      }
    }
    const time = this.clock.now();
    this.requests.push({ time, count });
    this.retries.push({ time, count: retries });
  }

  restart(member: number, knownMembers: number): void {
    this.#known[member] = knownMembers;
    this.#budgets[member] = this.#createBudget(member, false);
  }

  /** Within a window from its start, each member learns of all others. */
  learn(member: number, knownMembers: number): void {
    const isStarting = this.clock.now() < windowMilliseconds;
    this.#known[member] = isStarting ? knownMembers : this.count;
  }

  learnAll(): void {
    this.#known.fill(this.count);
  }

  check(): void {
    for (const { time } of this.retries) {
      const start = time - windowMilliseconds;
      const requests = Math.max(
        sumBetween(this.requests, start, time),
        sumBetween(this.requests, start - windowMilliseconds / 2, time - windowMilliseconds / 2),
        sumBetween(this.requests, start - windowMilliseconds, start),
      );
      const retries = sumBetween(this.retries, start, time);
      const limit = ratio * requests + slack;
      assert.ok(retries <= limit + 1e-6, `${retries} retries in a window, limit ${limit}`);
    }
  }

  #createBudget(member: number, isNew: boolean): SharedRetryBudget {
    const memberCount = () => this.#known[member] ?? 0;
    const isNewMember = () => isNew && memberCount() > 0;
    return new SharedRetryBudget({ ...options, memberCount, isNewMember, clock: this.clock });
  }
}

const step = fc.record({
  action: fc.constantFrom('send', 'send', 'send-everywhere', 'restart', 'restart-all', 'learn'),
  member: fc.nat(59),
  requests: fc.nat(40),
  attempts: fc.integer({ min: 2, max: 4 }),
  known: fc.nat(60),
  pause: fc.oneof(fc.nat(300), fc.nat(4000)),
});

describe('the retries that members share', () => {
  it('guards against more in any window than is allowed, in restarts and partial views', async () => {
    const property = fc.asyncProperty(
      fc.integer({ min: 1, max: 60 }),
      fc.array(step, { minLength: 1, maxLength: 80 }),
      async (count, steps) => {
        const members = new SimulatedMembers(count);
        for (const { action, attempts, known, member: number, pause, requests } of steps) {
          const member = number % count;
          if (action === 'send') members.sendFailing(member, requests, attempts);
          if (action === 'learn') members.learn(member, known);
          if (action === 'restart') members.restart(member, known);
          for (let each = 0; each < count; each += 1) {
            if (action === 'send-everywhere') members.sendFailing(each, requests % 5, attempts);
            if (action === 'restart-all') members.restart(each, known % 3);
          }
          await members.clock.advance(pause);
          if (members.clock.now() >= windowMilliseconds) members.learnAll();
        }
        members.check();
      },
    );
    await fc.assert(property, { seed: 39, numRuns: 300 });
  });

  it('guards against retries of a large fleet that has saved one for each member', async () => {
    const members = new SimulatedMembers(300);
    await members.clock.advance(windowMilliseconds);
    members.learnAll();
    for (let round = 0; round < 10; round += 1) {
      for (let member = 0; member < members.count; member += 1) members.sendFailing(member, 1, 2);
      await members.clock.advance(windowMilliseconds);
    }
    for (let member = 0; member < members.count; member += 1) members.sendFailing(member, 1, 3);
    members.check();
  });

  it('guards against an initial allowance for each of a series of restarts', async () => {
    const members = new SimulatedMembers(12);
    await members.clock.advance(windowMilliseconds);
    members.learnAll();
    for (let round = 0; round < 40; round += 1) {
      for (let member = 0; member < members.count; member += 1) {
        members.restart(member, members.count);
        members.sendFailing(member, 1, 3);
      }
      await members.clock.advance(250);
    }
    members.check();
  });

  it('guards against members that start together and keep the slack of a fleet of one', async () => {
    const members = new SimulatedMembers(12);
    for (let member = 0; member < members.count; member += 1) {
      members.learn(member, 1);
      members.sendFailing(member, 1, 3);
    }
    await members.clock.advance(3000);
    members.learnAll();
    await members.clock.advance(60_000);
    for (let member = 0; member < members.count; member += 1) members.sendFailing(member, 20, 3);
    members.check();
  });

  it('guards against a fleet of two that gets no retry for its first request', async () => {
    const members = new SimulatedMembers(2);
    members.learnAll();
    members.sendFailing(0, 1, 2);
    assert.equal(sumBetween(members.retries, -1, 0), 1);
    for (let round = 0; round < 100; round += 1) {
      members.sendFailing(0, 2, 2);
      await members.clock.advance(100);
    }
    const all = sumBetween(members.retries, -1, Infinity);
    // A tenth of 200 requests is 20, and the slack adds to that.
    assert.ok(all >= 20, `${all} retries`);
    members.check();
  });

  it('guards against a retry that is blocked for long by calls of repeated requests', async () => {
    const clock = new SimulatedClock();
    const budget = new SharedRetryBudget({
      ...options,
      memberCount: () => 12,
      isNewMember: () => true,
      clock,
    });
    for (let count = 0; count < 100; count += 1) budget.recordRetry();
    assert.equal(budget.tryAcquireRetry(), false);
    await clock.advance(1.1 * windowMilliseconds);
    assert.equal(budget.tryAcquireRetry(), true);
  });
});
