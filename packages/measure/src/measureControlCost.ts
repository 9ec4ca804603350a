import { execFileSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { DirectWatchFleet } from './control/DirectWatchFleet.js';
import { SimulatedFleet } from './control/SimulatedFleet.js';

/** Options of the measurement. */
export interface MeasureControlCostOptions {
  readonly seed: number;
  /** Numbers of nodes. */
  readonly sizes: readonly number[];
  readonly commit: string;
  readonly print: (line: string) => void;
}

/** Cost of control in one window of time. */
interface WindowFigures {
  readonly bytesPerSecondPerNode: number;
  /** Sent by the node that sends most: a reporter. */
  readonly bytesPerSecondWorstNode: number;
  readonly messagesPerSecondWorstNode: number;
  readonly storeCallsPerSecond: number;
  /** Processor time of the whole process for each simulated second and node, in % of a core. */
  readonly processorPercentPerNode: number;
}

/** Figures for one number of nodes. */
interface CostFigures {
  readonly idle: WindowFigures;
  readonly busy: WindowFigures;
  /** Heap of the whole process after garbage collection, for each node, in MB. */
  readonly heapMegabytesPerNode: number;
  readonly baselineStoreCallsPerSecond: number;
  readonly reverted: number;
}

const settlingMilliseconds = 60_000;
const windowSeconds = 60;
const bytesPerMegabyte = 1_000_000;

/** 2,100 changes a day are one in 41 s; the restarts are far more than the 51 of a day. */
const busyChanges = 2;
const busyRestarts = 2;

/**
 * Measures what control costs each node in simulated time: idle, and with changes and restarts.
 * The processor time includes the simulation and JSON in place of CBOR, but no sockets. The last
 * line is one JSON object.
 */
export async function measureControlCost(options: MeasureControlCostOptions): Promise<void> {
  const { seed, commit, sizes, print } = options;
  const results: [number, CostFigures][] = [];
  for (const nodes of sizes) {
    const figures = await measureFleet(nodes, seed);
    results.push([nodes, figures]);
    print(formatRow(nodes, 'idle', figures.idle));
    print(formatRow(nodes, 'busy', figures.busy));
  }
  const select = (value: (figures: CostFigures) => number) =>
    Object.fromEntries(results.map(([nodes, figures]) => [nodes, value(figures)]));
  print(
    JSON.stringify({
      measure: 'control-cost',
      seed,
      commit,
      time: 'simulated',
      bytes_are: 'names and bodies of control calls and replies as JSON, sent by a node',
      processor_time_includes: 'the simulation and JSON; no sockets',
      baseline: 'every node watches the store',
      bytes_per_second_per_node: select(({ idle }) => idle.bytesPerSecondPerNode),
      bytes_per_second_worst_node: select(({ idle }) => idle.bytesPerSecondWorstNode),
      messages_per_second_worst_node: select(({ idle }) => idle.messagesPerSecondWorstNode),
      processor_percent_per_node: select(({ idle }) => idle.processorPercentPerNode),
      heap_mb_per_node: select(({ heapMegabytesPerNode }) => heapMegabytesPerNode),
      store_calls_per_second: select(({ idle }) => idle.storeCallsPerSecond),
      baseline_store_calls_per_second: select((figures) => figures.baselineStoreCallsPerSecond),
      busy_bytes_per_second_per_node: select(({ busy }) => busy.bytesPerSecondPerNode),
      busy_bytes_per_second_worst_node: select(({ busy }) => busy.bytesPerSecondWorstNode),
      busy_processor_percent_per_node: select(({ busy }) => busy.processorPercentPerNode),
      busy_store_calls_per_second: select(({ busy }) => busy.storeCallsPerSecond),
      reverted: results.reduce((sum, [, { reverted }]) => sum + reverted, 0),
    }),
  );
}

async function measureFleet(nodes: number, seed: number): Promise<CostFigures> {
  const heapBefore = usedHeap();
  await using fleet = new SimulatedFleet({ seed, nodes });
  await fleet.start();
  await fleet.clock.advance(settlingMilliseconds);
  const heapMegabytesPerNode = (usedHeap() - heapBefore) / nodes / bytesPerMegabyte;
  const idle = await measureWindow(fleet, nodes, () => fleet.clock.advance(windowSeconds * 1000));
  const busy = await measureWindow(fleet, nodes, () => passBusyTime(fleet, nodes));
  return {
    idle,
    busy,
    heapMegabytesPerNode: round(heapMegabytesPerNode),
    baselineStoreCallsPerSecond: await measureBaseline(nodes, seed),
    reverted: fleet.observer.reverted,
  };
}

async function measureBaseline(nodes: number, seed: number): Promise<number> {
  await using fleet = new DirectWatchFleet({ seed, nodes });
  await fleet.start();
  const callsBefore = fleet.store.calls;
  await fleet.clock.advance(windowSeconds * 1000);
  return round((fleet.store.calls - callsBefore) / windowSeconds);
}

async function measureWindow(
  fleet: SimulatedFleet,
  nodes: number,
  pass: () => Promise<void>,
): Promise<WindowFigures> {
  // A restarted node counts from zero again, so nodes are compared by name.
  const before = fleet.trafficByNode();
  const callsBefore = fleet.store.calls;
  const processorBefore = process.cpuUsage();
  await pass();
  const { user, system } = process.cpuUsage(processorBefore);
  const after = fleet.trafficByNode();
  const differences = [...after].map(([nodeId, { bytes, messages }]) => {
    const earlier = before.get(nodeId);
    const continued = earlier !== undefined && earlier.bytes <= bytes;
    return {
      bytes: bytes - (continued ? earlier.bytes : 0),
      messages: messages - (continued ? earlier.messages : 0),
    };
  });
  const sum = differences.reduce((total, { bytes }) => total + bytes, 0);
  const worst = (values: readonly number[]) => round(Math.max(...values) / windowSeconds);
  const processorSeconds = (user + system) / 1_000_000;
  return {
    bytesPerSecondPerNode: round(sum / windowSeconds / nodes),
    bytesPerSecondWorstNode: worst(differences.map(({ bytes }) => bytes)),
    messagesPerSecondWorstNode: worst(differences.map(({ messages }) => messages)),
    storeCallsPerSecond: round((fleet.store.calls - callsBefore) / windowSeconds),
    processorPercentPerNode: round((processorSeconds / windowSeconds / nodes) * 100),
  };
}

async function passBusyTime(fleet: SimulatedFleet, nodes: number): Promise<void> {
  const steps = busyChanges + busyRestarts;
  const stepMilliseconds = (windowSeconds * 1000) / steps;
  for (let step = 0; step < steps; step += 1) {
    if (step % 2 === 0) fleet.applyDeployment(2 + step);
    else fleet.startNode(nodes - step);
    await fleet.clock.advance(stepMilliseconds);
  }
}

/** Gives the heap in use after a garbage collection, in bytes. */
function usedHeap(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

function formatRow(nodes: number, name: string, figures: WindowFigures): string {
  return [
    `${String(nodes).padStart(4)} nodes  ${name}`,
    `${figures.bytesPerSecondPerNode.toFixed(0).padStart(5)} B/s per node`,
    `worst node ${figures.bytesPerSecondWorstNode.toFixed(0).padStart(6)} B/s`,
    `${figures.messagesPerSecondWorstNode.toFixed(1).padStart(6)} messages/s`,
    `store ${figures.storeCallsPerSecond.toFixed(2).padStart(5)} calls/s`,
    `processor ${figures.processorPercentPerNode.toFixed(3)}% per node`,
  ].join('  ');
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/** Runs the measurement from the command line: `--seed N --sizes 8,16`. */
async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      sizes: { type: 'string', default: '8,16,32,64,128,640' },
    },
  });
  await measureControlCost({
    seed: Number(values.seed),
    sizes: values.sizes.split(',').map(Number),
    commit: execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim(),
    print: (line) => process.stdout.write(`${line}\n`),
  });
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main();
