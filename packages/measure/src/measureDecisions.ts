import { execFileSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { RandomSource } from '@hickorybridge/utils';
import type { MeasuredPolicy } from './decisions/ModelCluster.js';
import type { ModelFigures } from './decisions/ModelOutcomes.js';
import { modelDeployments, type ModelDeployment } from './decisions/modelDeployments.js';
import { runModel } from './decisions/runModel.js';
import { scenarioNames, type ScenarioName, makeScenario } from './decisions/scenarios.js';
import { timeSelections } from './decisions/timeSelections.js';

/** Options of the measurement. */
export interface MeasureDecisionsOptions {
  readonly seed: number;
  /** Arrival sequences for each scenario; figures are means over them. */
  readonly repetitions: number;
  readonly commit: string;
  readonly print: (line: string) => void;
}

/** Figures of one scenario: ours, the baseline with the lowest p99, and the ratio of the two. */
interface Comparison {
  readonly scenario: ScenarioName;
  readonly ours: ModelFigures;
  readonly bestBaseline: ModelFigures & { readonly policy: string };
  readonly ratio: number;
}

const OURS: MeasuredPolicy = {
  label: 'adaptive',
  policy: 'adaptive',
  hedged: true,
  anyRegion: false,
};
/** Shown for information: what the selection contributes without hedged requests. */
const UNHEDGED: MeasuredPolicy = { ...OURS, label: 'adaptive, no hedging', hedged: false };
const baselinePolicies = ['random', 'round-robin', 'least-outstanding', 'two-choices'] as const;
/** Each baseline once within the nearest region and once over all regions. */
const BASELINES: readonly MeasuredPolicy[] = baselinePolicies.flatMap((policy) => [
  { label: policy, policy, hedged: false, anyRegion: false },
  { label: `${policy}, any region`, policy, hedged: false, anyRegion: true },
]);

/**
 * Measures the policies on the same arrival sequences against a queueing model. Prints one table
 * for each deployment and, as the last line, one JSON object.
 */
export async function measureDecisions(options: MeasureDecisionsOptions): Promise<void> {
  const { seed, commit, print } = options;
  const results: Record<string, unknown> = {};
  for (const deployment of modelDeployments) {
    const comparisons: Comparison[] = [];
    for (const scenario of scenarioNames) {
      comparisons.push(await compare(scenario, deployment, options));
    }
    results[deployment.name] = summarize(comparisons);
  }
  const baseline = BASELINES.map(({ label }) => label);
  const selectionMicroseconds = round(timeSelections(seed));
  print(`selection with bookkeeping, 640 backend servers: ${selectionMicroseconds} microseconds`);
  const head = { measure: 'decisions', seed, commit, baseline, selectionMicroseconds };
  print(JSON.stringify({ ...head, ...results }));
}

async function compare(
  scenario: ScenarioName,
  deployment: ModelDeployment,
  { seed, repetitions, print }: MeasureDecisionsOptions,
): Promise<Comparison> {
  const measured = [OURS, UNHEDGED, ...BASELINES];
  const runs = new Map<MeasuredPolicy, ModelFigures[]>(measured.map((policy) => [policy, []]));
  for (let repetition = 0; repetition < repetitions; repetition += 1) {
    const runSeed = seed * 1_000 + repetition;
    const sequence = makeScenario(scenario, deployment, new RandomSource(runSeed));
    for (const [policy, figures] of runs) {
      const run = { deployment, scenario: sequence, measured: policy, seed: runSeed };
      figures.push(await runModel(run));
    }
  }
  const means = new Map([...runs].map(([policy, figures]) => [policy, meanFigures(figures)]));
  print(`${deployment.name}, ${scenario}`);
  for (const [{ label }, figures] of means) print(formatRow(label, figures));
  const ours = figuresOf(means, OURS);
  const best = BASELINES.reduce((first, second) =>
    figuresOf(means, second).p99 < figuresOf(means, first).p99 ? second : first,
  );
  const bestBaseline = { policy: best.label, ...figuresOf(means, best) };
  return { scenario, ours, bestBaseline, ratio: ours.p99 / bestBaseline.p99 };
}

function figuresOf(
  means: ReadonlyMap<MeasuredPolicy, ModelFigures>,
  policy: MeasuredPolicy,
): ModelFigures {
  const figures = means.get(policy);
  if (figures === undefined) throw new Error(`policy ${policy.label} was not run`);
  return figures;
}

function meanFigures(runs: readonly ModelFigures[]): ModelFigures {
  const mean = (key: keyof ModelFigures): number =>
    runs.reduce((sum, figures) => sum + figures[key], 0) / runs.length;
  return {
    p99: mean('p99'),
    p999: mean('p999'),
    withinDeadline: mean('withinDeadline'),
    wastedRuns: mean('wastedRuns'),
    tries: mean('tries'),
    linkKilobytesPerRequest: mean('linkKilobytesPerRequest'),
  };
}

function formatRow(label: string, figures: ModelFigures): string {
  return [
    `  ${label.padEnd(30)}`,
    `p99 ${figures.p99.toFixed(1).padStart(7)} ms`,
    `p99.9 ${figures.p999.toFixed(1).padStart(7)} ms`,
    `in time ${(figures.withinDeadline * 100).toFixed(2).padStart(6)}%`,
    `wasted ${(figures.wastedRuns * 100).toFixed(2).padStart(5)}%`,
    `tries ${figures.tries.toFixed(3)}`,
    `link ${figures.linkKilobytesPerRequest.toFixed(3)} KB`,
  ].join('  ');
}

function summarize(comparisons: readonly Comparison[]): unknown {
  const byScenario = (value: (comparison: Comparison) => unknown): Record<string, unknown> =>
    Object.fromEntries(comparisons.map((comparison) => [comparison.scenario, value(comparison)]));
  return {
    ours: byScenario(({ ours }) => rounded(ours)),
    best_baseline: byScenario(({ bestBaseline }) => rounded(bestBaseline)),
    ratio_p99: byScenario(({ ratio }) => round(ratio)),
  };
}

function rounded(figures: object): Record<string, unknown> {
  const entries = Object.entries(figures) as [string, unknown][];
  return Object.fromEntries(
    entries.map(([key, value]) => [key, typeof value === 'number' ? round(value) : value]),
  );
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

/** Runs the measurement from the command line: `--seed N --repetitions N`. */
async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      repetitions: { type: 'string', default: '2' },
    },
  });
  await measureDecisions({
    seed: Number(values.seed),
    repetitions: Number(values.repetitions),
    commit: execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim(),
    print: (line) => process.stdout.write(`${line}\n`),
  });
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main();
