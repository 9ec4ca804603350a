import type { Expectations } from './expectations.js';
import type { Accounting } from './accounting.js';
import type { Latency } from './latencies.js';

/** Everything that a replay has measured. */
export interface Measured {
  readonly accounting: Accounting;
  readonly latencies: ReadonlyMap<string, Latency>;
  readonly configurationOlder: number;
  /** Lowest number in effect on any node at the end; 0 when a node did not tell. */
  readonly configurationNumber: number;
  readonly forcedStops: number;
  /** Names of the budgets for measuring that were exceeded. */
  readonly budgetsExceeded: readonly string[];
  /** Events that could not be carried out, and processes that ended by themselves. */
  readonly disruptions: readonly string[];
}

const countNames = [
  'unaccounted',
  'ranTwice',
  'notRunThatRan',
  'answeredWithoutRun',
  'wrongBytes',
  'cutOff',
  'workAfterLeaving',
] as const;

/** Compares what was measured with what is stated; gives one line for each difference. */
export function judge(measured: Measured, expected: Expectations): string[] {
  const { accounting } = measured;
  const counts = countNames.flatMap((name) => atMost(name, accounting[name], expected[name]));
  // A repetition of an unfinished request is rightly told that the outcome is unknown.
  const repeated = accounting.alreadyClaimed;
  const shareOf = (count: number) => count / Math.max(1, accounting.requests - repeated);
  return [
    ...counts,
    ...atMost('configurationOlder', measured.configurationOlder, expected.configurationOlder),
    ...atMost('forcedStops', measured.forcedStops, expected.forcedStops),
    ...atMost('unknown share', shareOf(accounting.unknown - repeated), expected.unknownShareAtMost),
    ...atMost('not-run share', shareOf(accounting.notRun), expected.notRunShareAtMost),
    ...atLeast('answered share', shareOf(accounting.answered), expected.answeredShareAtLeast),
    ...atLeast(
      'configuration in effect',
      measured.configurationNumber,
      expected.configurationAtLeast,
    ),
    ...judgeLatencies(measured.latencies, expected.p99Milliseconds),
    ...(expected.measuringWithinBudget ? measured.budgetsExceeded : []),
    ...measured.disruptions,
  ];
}

function judgeLatencies(
  latencies: ReadonlyMap<string, Latency>,
  limits: Readonly<Record<string, number>>,
): string[] {
  return Object.entries(limits).flatMap(([kind, limit]) => {
    const latency = latencies.get(kind);
    if (latency === undefined) return [`p99 of ${kind}: no request was answered`];
    return atMost(`p99 of ${kind} in ms`, latency.p99, limit);
  });
}

function atMost(name: string, value: number, limit: number): string[] {
  return value <= limit ? [] : [`${name}: ${round(value)}, expected at most ${limit}`];
}

function atLeast(name: string, value: number, limit: number): string[] {
  return value >= limit ? [] : [`${name}: ${round(value)}, expected at least ${limit}`];
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
