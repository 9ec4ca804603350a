import { discardBody, type ExecutionOutcome } from '@hickorybridge/peer-protocol';

import type { RequestTry } from './RequestTry.js';

/** How a try and its hedged request ended together. */
export interface HedgedOutcome {
  readonly outcome: ExecutionOutcome;
  /** Whether a try that brought no answer may have run. */
  readonly mayHaveRun: boolean;
  /** Permission that the tries carried away together. */
  readonly carried: number;
}

/** What `runHedged` needs. */
export interface HedgedTryOptions {
  readonly first: RequestTry;
  /** Time after which the hedged request is due, in milliseconds; `undefined` for none. */
  readonly delayMilliseconds: number | undefined;
  /** Starts the hedged request, or gives `undefined` when the budget or the servers forbid it. */
  readonly startHedge: () => RequestTry | undefined;
}

/** Waits for a try and sends a hedged request when it is late. The loser is cancelled. */
export async function runHedged(options: HedgedTryOptions): Promise<HedgedOutcome> {
  const { first, delayMilliseconds, startHedge } = options;
  if (delayMilliseconds === undefined) return alone(first, await first.outcome);
  const late = await outcomeWithin(first, delayMilliseconds);
  if (late !== undefined) return alone(first, late);
  const second = startHedge();
  if (second === undefined) return alone(first, await first.outcome);
  return race(first, second);
}

function alone(only: RequestTry, outcome: ExecutionOutcome): HedgedOutcome {
  return { outcome, mayHaveRun: outcome.type === 'lost', carried: only.attempts };
}

async function outcomeWithin(
  first: RequestTry,
  milliseconds: number,
): Promise<ExecutionOutcome | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), milliseconds);
  });
  const outcome = await Promise.race([first.outcome, late]);
  clearTimeout(timer);
  return outcome;
}

async function race(first: RequestTry, second: RequestTry): Promise<HedgedOutcome> {
  const carried = first.attempts + second.attempts;
  const [earlier, later] = await Promise.race([
    first.outcome.then(() => [first, second] as const),
    second.outcome.then(() => [second, first] as const),
  ]);
  const outcome = await earlier.outcome;
  if (outcome.type === 'answered') {
    discard(later);
    return { outcome, mayHaveRun: true, carried };
  }
  const last = await later.outcome;
  const mayHaveRun = outcome.type === 'lost' || last.type === 'lost';
  return { outcome: last, mayHaveRun, carried };
}

/** Cancels a try that is not needed any more, and its answer if that has started already. */
async function discard(loser: RequestTry): Promise<void> {
  loser.cancel();
  const outcome = await loser.outcome;
  if (outcome.type === 'answered') discardBody(outcome.body);
}
