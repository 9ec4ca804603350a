import { execFileSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { DirectWatchFleet } from './control/DirectWatchFleet.js';
import { SimulatedFleet } from './control/SimulatedFleet.js';

/** Options of the measurement. */
export interface MeasureConfigurationOptions {
  readonly seed: number;
  /** Numbers of nodes. */
  readonly sizes: readonly number[];
  /** Deployments that are applied in each scenario. */
  readonly repetitions: number;
  readonly commit: string;
  readonly print: (line: string) => void;
}

/** What goes wrong while deployments are applied. */
const SCENARIOS = ['healthy', 'one percent lost', 'slow store', 'after an outage'] as const;

type Scenario = (typeof SCENARIOS)[number];

/** Figures of one fleet in one scenario. */
interface ConvergenceFigures {
  readonly worstSeconds: number;
  readonly storeCallsPerSecond: number;
  readonly storeCallsBusiestSecond: number;
  readonly bytesPerSecondPerNode: number;
  readonly reverted: number;
}

/** What both fleets have in common. */
interface MeasuredFleet extends AsyncDisposable {
  readonly clock: SimulatedFleet['clock'];
  readonly store: SimulatedFleet['store'];
  readonly observer: SimulatedFleet['observer'];
  start(): Promise<void>;
  applyDeployment(number: number): void;
  secondsUntilInEffect(number: number, limitMilliseconds: number): Promise<number>;
}

const limitMilliseconds = 60_000;
const pauseMilliseconds = 10_000;
const outageMilliseconds = 60_000;
const slowStoreMilliseconds = 1500;
const normalStoreMilliseconds = 3;
const lostShare = 0.01;

/** An idle store watch lasts 20 s, so shorter runs would show the starts only. */
const settlingMilliseconds = 30_000;

/**
 * Measures how long an accepted deployment takes until it is in effect at every node, and what that
 * costs the store, in simulated time: our fleet against one in which every node watches the store.
 * Bytes are the lengths of names and bodies as JSON. The last line is one JSON object.
 */
export async function measureConfiguration(options: MeasureConfigurationOptions): Promise<void> {
  const { seed, commit, sizes, print } = options;
  const ours: Record<string, Record<string, ConvergenceFigures>> = {};
  const baseline: Record<string, Record<string, ConvergenceFigures>> = {};
  for (const nodes of sizes) {
    const figures = await measureOurs(nodes, options);
    const baselineFigures = await measureBaseline(nodes, options);
    ours[nodes] = figures;
    baseline[nodes] = baselineFigures;
    for (const scenario of SCENARIOS) {
      print(formatRow(nodes, scenario, figures[scenario], baselineFigures[scenario]));
    }
  }
  const all = Object.values(ours).flatMap((figures) => Object.values(figures));
  print(
    JSON.stringify({
      measure: 'configuration',
      seed,
      commit,
      time: 'simulated',
      bytes_are: 'names and bodies of control calls and replies as JSON, sent by a node',
      baseline: 'every node watches the store',
      worst_s: select(ours, ({ worstSeconds }) => worstSeconds),
      baseline_worst_s: select(baseline, ({ worstSeconds }) => worstSeconds),
      store_calls_per_second: select(ours, (figures) => figures.storeCallsPerSecond),
      baseline_store_calls_per_second: select(baseline, (figures) => figures.storeCallsPerSecond),
      store_calls_busiest_second: select(ours, (figures) => figures.storeCallsBusiestSecond),
      baseline_store_calls_busiest_second: select(
        baseline,
        (figures) => figures.storeCallsBusiestSecond,
      ),
      bytes_per_second_per_node: select(ours, (figures) => figures.bytesPerSecondPerNode),
      reverted: all.reduce((sum, { reverted }) => sum + reverted, 0),
    }),
  );
}

async function measureOurs(
  nodes: number,
  { seed, repetitions }: MeasureConfigurationOptions,
): Promise<Record<Scenario, ConvergenceFigures>> {
  await using fleet = new SimulatedFleet({ seed, nodes });
  await fleet.start();
  const setLoss = (share: number) => {
    fleet.network.lossProbability = share;
    fleet.store.lossProbability = share;
  };
  const bytes = () =>
    [...fleet.trafficByNode().values()].reduce((sum, { bytes: sent }) => sum + sent, 0);
  return await measureScenarios(fleet, { nodes, repetitions, setLoss, bytes });
}

async function measureBaseline(
  nodes: number,
  { seed, repetitions }: MeasureConfigurationOptions,
): Promise<Record<Scenario, ConvergenceFigures>> {
  await using fleet = new DirectWatchFleet({ seed, nodes });
  await fleet.start();
  const setLoss = (share: number) => {
    fleet.store.lossProbability = share;
  };
  return await measureScenarios(fleet, { nodes, repetitions, setLoss, bytes: () => 0 });
}

interface ScenarioRun {
  readonly nodes: number;
  readonly repetitions: number;
  readonly setLoss: (share: number) => void;
  readonly bytes: () => number;
}

async function measureScenarios(
  fleet: MeasuredFleet,
  run: ScenarioRun,
): Promise<Record<Scenario, ConvergenceFigures>> {
  const results: Partial<Record<Scenario, ConvergenceFigures>> = {};
  let number = 1;
  for (const scenario of SCENARIOS) {
    await fleet.clock.advance(settlingMilliseconds);
    run.setLoss(scenario === 'one percent lost' ? lostShare : 0);
    const slow = scenario === 'slow store';
    const { store } = fleet;
    store.delayMilliseconds = slow ? slowStoreMilliseconds : normalStoreMilliseconds;
    const startedAt = fleet.clock.now();
    const callsBefore = fleet.store.calls;
    const bytesBefore = run.bytes();
    const revertedBefore = fleet.observer.reverted;
    let worstSeconds = 0;
    for (let count = 0; count < run.repetitions; count += 1) {
      number += 1;
      if (scenario === 'after an outage') await passOutage(fleet);
      fleet.applyDeployment(number);
      const seconds = await fleet.secondsUntilInEffect(number, limitMilliseconds);
      worstSeconds = Math.max(worstSeconds, seconds);
      await fleet.clock.advance(pauseMilliseconds);
    }
    const elapsedSeconds = (fleet.clock.now() - startedAt) / 1000;
    results[scenario] = {
      worstSeconds: round(worstSeconds),
      storeCallsPerSecond: round((fleet.store.calls - callsBefore) / elapsedSeconds),
      storeCallsBusiestSecond: fleet.store.peakCallsPerSecond(startedAt),
      bytesPerSecondPerNode: round((run.bytes() - bytesBefore) / elapsedSeconds / run.nodes),
      reverted: fleet.observer.reverted - revertedBefore,
    };
  }
  return results as Record<Scenario, ConvergenceFigures>;
}

/** The time of convergence counts from the end of the outage. */
async function passOutage(fleet: MeasuredFleet): Promise<void> {
  fleet.store.setDown(true);
  await fleet.clock.advance(outageMilliseconds);
  fleet.store.setDown(false);
}

function select(
  results: Record<string, Record<string, ConvergenceFigures>>,
  value: (figures: ConvergenceFigures) => number,
): Record<string, Record<string, number>> {
  return Object.fromEntries(
    Object.entries(results).map(([nodes, figures]) => [
      nodes,
      Object.fromEntries(
        Object.entries(figures).map(([scenario, measured]) => [scenario, value(measured)]),
      ),
    ]),
  );
}

function formatRow(
  nodes: number,
  scenario: Scenario,
  ours: ConvergenceFigures,
  baseline: ConvergenceFigures,
): string {
  return [
    `${String(nodes).padStart(4)} nodes  ${scenario.padEnd(16)}`,
    `worst ${ours.worstSeconds.toFixed(2).padStart(6)} s`,
    `(baseline ${baseline.worstSeconds.toFixed(2).padStart(6)} s)`,
    `store ${ours.storeCallsPerSecond.toFixed(2).padStart(6)} calls/s`,
    `(baseline ${baseline.storeCallsPerSecond.toFixed(2).padStart(7)})`,
    `busiest ${String(ours.storeCallsBusiestSecond).padStart(4)}`,
    `(baseline ${String(baseline.storeCallsBusiestSecond).padStart(5)})`,
    `${ours.bytesPerSecondPerNode.toFixed(0).padStart(6)} B/s per node`,
  ].join('  ');
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/** Runs the measurement from the command line: `--seed N --sizes 8,16 --repetitions N`. */
async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      sizes: { type: 'string', default: '8,16,32,64,128,640' },
      repetitions: { type: 'string', default: '3' },
    },
  });
  await measureConfiguration({
    seed: Number(values.seed),
    sizes: values.sizes.split(',').map(Number),
    repetitions: Number(values.repetitions),
    commit: execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim(),
    print: (line) => process.stdout.write(`${line}\n`),
  });
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main();
