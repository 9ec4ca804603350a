import { discardBody } from './AnswerBody.js';
import type { ExecutionOutcome } from './RequestExecutor.js';

/** One sending of a request to one backend server, which can be cancelled. */
export interface CancellableTry {
  readonly outcome: Promise<ExecutionOutcome>;
  /** Permission to repeat that the try carries away. */
  readonly attempts: number;
  cancel(): void;
}

/** How a try and its hedged request ended together. */
export interface HedgedOutcome<Try> {
  readonly outcome: ExecutionOutcome;
  /** The try whose outcome this is. */
  readonly winner: Try;
  /** Whether a try that brought no answer may have run. */
  readonly mayHaveRun: boolean;
  /** Permission that the tries carried away together. */
  readonly carried: number;
}

/** What `runHedged` needs. */
export interface HedgedTryOptions<Try extends CancellableTry> {
  readonly first: Try;
  /** Time after which the hedged request is due, in milliseconds; `undefined` for none. */
  readonly delayMilliseconds: number | undefined;
  /** Starts the hedged request, or gives `undefined` when the budget or the servers forbid it. */
  readonly startHedge: () => Try | undefined | Promise<Try | undefined>;
}

const firstServerError = 500;

/** Waits for a try and sends a hedged request when it is late. The loser is cancelled. */
export async function runHedged<Try extends CancellableTry>(
  options: HedgedTryOptions<Try>,
): Promise<HedgedOutcome<Try>> {
  const { first, delayMilliseconds, startHedge } = options;
  if (delayMilliseconds === undefined) return alone(first, await first.outcome);
  const late = await outcomeWithin(first, delayMilliseconds);
  if (late !== undefined) return alone(first, late);
  const second = await startHedge();
  if (second === undefined) return alone(first, await first.outcome);
  return race(first, second);
}

function alone<Try extends CancellableTry>(
  only: Try,
  outcome: ExecutionOutcome,
): HedgedOutcome<Try> {
  return {
    outcome,
    winner: only,
    mayHaveRun: outcome.type === 'lost',
    carried: only.attempts,
  };
}

async function outcomeWithin(
  first: CancellableTry,
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

async function race<Try extends CancellableTry>(
  first: Try,
  second: Try,
): Promise<HedgedOutcome<Try>> {
  const carried = first.attempts + second.attempts;
  const [earlier, later] = await Promise.race([
    first.outcome.then(() => [first, second] as const),
    second.outcome.then(() => [second, first] as const),
  ]);
  const outcome = await earlier.outcome;
  if (isServed(outcome)) {
    discard(later);
    return { outcome, winner: earlier, mayHaveRun: true, carried };
  }
  const last = await later.outcome;
  // An error answer tells the caller more than a loss or a refusal.
  if (outcome.type === 'answered' && last.type !== 'answered') {
    return { outcome, winner: earlier, mayHaveRun: true, carried };
  }
  if (outcome.type === 'answered') discardBody(outcome.body);
  const mayHaveRun = outcome.type !== 'refused' || last.type === 'lost';
  return { outcome: last, winner: later, mayHaveRun, carried };
}

function isServed(outcome: ExecutionOutcome): boolean {
  return outcome.type === 'answered' && outcome.head.status < firstServerError;
}

/** Cancels a try that is not needed any more, and its answer if that has started already. */
async function discard(loser: CancellableTry): Promise<void> {
  loser.cancel();
  const outcome = await loser.outcome;
  if (outcome.type === 'answered') discardBody(outcome.body);
}
