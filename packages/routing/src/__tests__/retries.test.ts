import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@hickorybridge/utils';
import fc from 'fast-check';
import type { RetryBudget } from '@hickorybridge/coordination';
import { HedgePolicy } from '../HedgePolicy.js';
import { createRetryBudget } from '../createRetryBudget.js';
import { TryFailure, attemptsForTry, retryDecision } from '../retryDecision.js';
import { Fixture } from './fixtures.js';

const fcParameters = { seed: 7, numRuns: 200 };

interface Chain {
  readonly random: RandomSource;
  readonly budget: RetryBudget;
  readonly leafDepth: number;
  runsAtLeaf: number;
}

/** Plays one call of a chain; each try fails in a random way after its calls below were made. */
function call(chain: Chain, depth: number, permitted: number): void {
  let attempts = permitted;
  for (;;) {
    const carried = attemptsForTry({ attempts, idempotent: true, depth });
    const failure = chain.random.next() < 0.3 ? TryFailure.notRun : TryFailure.ambiguous;
    if (failure === TryFailure.ambiguous) {
      if (depth === chain.leafDepth) Object.assign(chain, { runsAtLeaf: chain.runsAtLeaf + 1 });
      else call(chain, depth + 1, carried);
    }
    const decision = retryDecision({
      failure,
      idempotent: true,
      mayHaveRun: false,
      attempts,
      carried,
      deadline: 1_000,
      now: 0,
      minimumTryMilliseconds: 1,
      budget: chain.budget,
    });
    if (decision.type === 'stop') return;
    attempts = decision.attempts;
  }
}

test('guards against tries that multiply along a chain of 20 calls', () => {
  const { clock } = new Fixture(0);
  fc.assert(
    fc.property(fc.integer(), fc.integer({ min: 1, max: 5 }), (seed, attempts) => {
      const budget = createRetryBudget(1, clock);
      for (let index = 0; index < 100; index += 1) budget.recordFirstAttempt();
      const chain = { random: new RandomSource(seed), budget, leafDepth: 20, runsAtLeaf: 0 };
      call(chain, 0, attempts);
      assert.ok(chain.runsAtLeaf <= attempts, `${chain.runsAtLeaf} runs, ${attempts} permitted`);
    }),
    fcParameters,
  );
});

test('guards against a second run of a non-idempotent request, and untrue outcomes', () => {
  const { clock } = new Fixture(0);
  fc.assert(
    fc.property(
      fc.constantFrom(...Object.values(TryFailure)),
      fc.boolean(),
      fc.integer({ min: 1, max: 4 }),
      fc.integer({ min: 0, max: 20 }),
      (failure, mayHaveRun, attempts, deadline) => {
        const decision = retryDecision({
          failure,
          idempotent: false,
          mayHaveRun,
          attempts,
          carried: attempts,
          deadline,
          now: 10,
          minimumTryMilliseconds: 1,
          budget: createRetryBudget(0.2, clock),
        });
        const ambiguous = mayHaveRun || failure === TryFailure.ambiguous;
        if (decision.type === 'retry') {
          assert.ok(!ambiguous && deadline > 11);
          assert.equal(decision.attempts, attempts - 1);
        } else {
          assert.equal(decision.outcome, ambiguous ? 'unknown' : 'not-run');
        }
      },
    ),
    fcParameters,
  );
});

test('guards against a retry storm when every try fails', () => {
  const fixture = new Fixture(0);
  const budget = createRetryBudget(0.2, fixture.clock);
  let retries = 0;
  for (let request = 0; request < 10_000; request += 1) {
    fixture.time += 0.1;
    budget.recordFirstAttempt();
    while (budget.tryAcquireRetry()) retries += 1;
  }
  // A share of 20%, 10 a second for one second, and the tokens of the start.
  assert.ok(retries <= 2_000 + 10 + 10, `${retries} retries for 10000 requests`);
});

test('guards against hedged requests for non-idempotent kinds, early ones and over budget', () => {
  const { clock } = new Fixture(0);
  const hedges = new HedgePolicy({ share: 0.05, clock });
  const late = {
    kind: 'read',
    idempotent: true,
    attemptsKept: 1,
    elapsedMilliseconds: 1_000,
    remainingMilliseconds: 100,
  };
  assert.equal(hedges.tryHedge(late), false);
  for (let sample = 1; sample <= 512; sample += 1) hedges.recordResponseTime('read', sample / 5);
  const delay = hedges.delayFor('read') ?? 0;
  assert.ok(delay >= 97, `hedged after ${delay} ms, 95th percentile 97 ms`);
  for (let request = 0; request < 1_000; request += 1) hedges.firstTry();
  assert.equal(hedges.tryHedge({ ...late, idempotent: false }), false);
  assert.equal(hedges.tryHedge({ ...late, attemptsKept: 0 }), false);
  assert.equal(hedges.tryHedge({ ...late, elapsedMilliseconds: delay - 1 }), false);
  let taken = 0;
  while (hedges.tryHedge(late)) taken += 1;
  for (let request = 0; request < 1_000; request += 1) {
    hedges.firstTry();
    if (hedges.tryHedge(late)) taken += 1;
  }
  assert.ok(taken > 0 && taken <= 10 + 50, `${taken} hedged requests`);
});
