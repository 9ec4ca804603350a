import { setTimeout as sleep } from 'node:timers/promises';
import { DeploymentCluster, repositoryPath, summarise } from '@hickorybridge/replay';
import { RandomSource } from '@hickorybridge/utils';
import { CallPath } from './CallPath.js';
import type { MeasureContext, MeasureResult } from './Measure.js';
import { processorMicroseconds } from './processFigures.js';

/** Calls a second through nodes: the target's mean for a node, and a busy one. */
const rates = [360, 2_000] as const;

/** Time for which each rate is measured, and for which it runs before, in milliseconds. */
const measuredMilliseconds = 12_000;
const warmUpMilliseconds = 3_000;

const millisecondsPerSecond = 1_000;

/** Of three interleaved calls two go through nodes. */
const callsThroughNodes = 2;

interface Paths {
  readonly direct: CallPath;
  readonly oneNode: CallPath;
  readonly twoNodes: CallPath;
}

/** Response times of three calls that were sent one after the other, in milliseconds. */
interface Triple {
  readonly direct: number;
  readonly oneNode: number;
  readonly twoNodes: number;
}

/**
 * Measures what nodes add to a call: the same call is sent to a backend server directly, through
 * the node beside it, and through another node and that node, in turn.
 */
export async function measureAddedLatency(context: MeasureContext): Promise<MeasureResult> {
  const deploymentFile = repositoryPath('examples/litoteca.toml');
  await using cluster = await DeploymentCluster.start({
    deploymentFile,
    seed: context.seed,
    services: ['catalogue', 'laboratory'],
    profile: { backendServersPerService: 1, slots: 64 },
    control: { serviceMilliseconds: 0, connectMilliseconds: 0 },
    logLevel: 'warn',
    relayPeers: false,
  });
  const results: Record<string, Awaited<ReturnType<typeof measureRate>>> = {};
  for (const rate of rates) {
    const result = await measureRate(cluster, rate, context.seed);
    results[String(rate)] = result;
    context.print(`${rate} calls a second: ${JSON.stringify(result)}`);
  }
  const usual = results[String(rates[0])]?.two_nodes;
  return {
    baseline: 'the same call sent directly to the backend server',
    added_p50_ms: usual?.added_p50_ms,
    added_p99_ms: usual?.added_p99_ms,
    processor_us_per_call: usual?.processor_us_per_call,
    rates: results,
  };
}

async function measureRate(cluster: DeploymentCluster, rate: number, seed: number) {
  const near = cluster.host('catalogue-1');
  const other = cluster.host('laboratory-1');
  const target = { host: 'catalogue.litoteca.example', path: '/boxes/17' };
  await using direct = new CallPath({ name: 'direct', url: near.backendServerUrl, ...target });
  await using oneNode = new CallPath({ name: 'one node', url: near.callersUrl, ...target });
  await using twoNodes = new CallPath({ name: 'two nodes', url: other.callersUrl, ...target });
  const paths = { direct, oneNode, twoNodes };
  await sendTriples(paths, { rate, seed, milliseconds: warmUpMilliseconds });
  const callsBefore = oneNode.calls;
  const nearBefore = processorMicroseconds(near.node);
  const otherBefore = processorMicroseconds(other.node);
  const start = performance.now();
  const triples = await sendTriples(paths, { rate, seed, milliseconds: measuredMilliseconds });
  const elapsed = performance.now() - start;
  const calls = oneNode.calls - callsBefore;
  const nearCost = (processorMicroseconds(near.node) - nearBefore) / (callsThroughNodes * calls);
  const otherCost = (processorMicroseconds(other.node) - otherBefore) / calls;
  return {
    calls_per_second: Math.round((callsThroughNodes * calls * millisecondsPerSecond) / elapsed),
    triples: triples.length,
    failures: direct.failures + oneNode.failures + twoNodes.failures,
    direct: figuresOf(triples.map((triple) => triple.direct)),
    one_node: {
      ...addedFigures(triples, 'oneNode'),
      processor_us_per_call: Math.round(nearCost),
    },
    two_nodes: {
      ...addedFigures(triples, 'twoNodes'),
      processor_us_per_call: Math.round(nearCost + otherCost),
    },
  };
}

/** Sends triples at even distances for some time, independent of how fast they are answered. */
async function sendTriples(
  paths: Paths,
  options: { readonly rate: number; readonly seed: number; readonly milliseconds: number },
): Promise<Triple[]> {
  const random = new RandomSource(options.seed);
  const period = (callsThroughNodes * millisecondsPerSecond) / options.rate;
  const pending: Promise<Triple | undefined>[] = [];
  const start = performance.now();
  for (let due = 0; due < options.milliseconds; due += period) {
    const wait = start + due - performance.now();
    // Busy waiting would take processor time from the nodes, so due times are met to 1 ms.
    if (wait >= 1) await sleep(wait);
    pending.push(sendTriple(paths, random, `call-${pending.length}`));
  }
  const triples = await Promise.all(pending);
  return triples.filter((triple) => triple !== undefined);
}

/** Sends the three calls one after the other, in random order. */
async function sendTriple(
  paths: Paths,
  random: RandomSource,
  mark: string,
): Promise<Triple | undefined> {
  const names = (['direct', 'oneNode', 'twoNodes'] as const)
    .map((name) => ({ name, order: random.next() }))
    .sort((first, second) => first.order - second.order);
  const times: Partial<Record<keyof Triple, number>> = {};
  for (const { name } of names) {
    const time = await paths[name].measure(mark);
    if (time === undefined) return undefined;
    times[name] = time;
  }
  const { direct, oneNode, twoNodes } = times;
  if (direct === undefined || oneNode === undefined || twoNodes === undefined) return undefined;
  return { direct, oneNode, twoNodes };
}

/** Figures of the paired differences, and the plain difference of the percentiles. */
function addedFigures(triples: readonly Triple[], name: 'oneNode' | 'twoNodes') {
  const differences = triples.map((triple) => triple[name] - triple.direct);
  const through = summarise(triples.map((triple) => triple[name]));
  const direct = summarise(triples.map((triple) => triple.direct));
  return {
    added_p50_ms: percentile(differences, 0.5),
    added_p99_ms: percentile(differences, 0.99),
    p50_ms: through.p50,
    p99_ms: through.p99,
    difference_of_p99_ms: roundTime(through.p99 - direct.p99),
  };
}

function figuresOf(times: readonly number[]) {
  const { p50, p99 } = summarise(times);
  return { p50_ms: p50, p99_ms: p99 };
}

/** Differences can be negative, which a histogram does not take. */
function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((first, second) => first - second);
  return roundTime(sorted[Math.floor(share * (sorted.length - 1))] ?? NaN);
}

function roundTime(milliseconds: number): number {
  return Math.round(milliseconds * 1_000) / 1_000;
}
