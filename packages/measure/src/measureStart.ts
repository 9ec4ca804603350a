import { setTimeout as sleep } from 'node:timers/promises';
import { DeploymentCluster, repositoryPath } from '@hickorybridge/replay';
import type { Host } from '@hickorybridge/replay';
import { CallPath } from './CallPath.js';
import type { MeasureContext, MeasureResult } from './Measure.js';
import { residentMegabytes } from './processFigures.js';

const millisecondsPerSecond = 1_000;

/** Limit for the first answer after a start, in milliseconds. */
const startLimitMilliseconds = 20_000;

/** Time without requests before the idle memory is read, in milliseconds. */
const idleMilliseconds = 8_000;

/** Length and rate of the busy phase; 360 calls a second is the target's mean for a node. */
const busyMilliseconds = 10_000;
const busyCallsPerSecond = 360;

const repetitions = 3;

/** Measures how soon a restarted node answers, and its memory without and with load. */
export async function measureStart(context: MeasureContext): Promise<MeasureResult> {
  const deploymentFile = repositoryPath('examples/litoteca.toml');
  const control = { serviceMilliseconds: 2 };
  await using cluster = await DeploymentCluster.start({
    deploymentFile,
    seed: context.seed,
    control,
    logLevel: 'warn',
    relayPeers: false,
  });
  const host = cluster.host('catalogue-1');
  await using path = new CallPath({
    name: 'one node',
    url: host.callersUrl,
    host: 'catalogue.litoteca.example',
    path: '/boxes/17',
  });
  const starts: number[] = [];
  for (let repetition = 0; repetition < repetitions; repetition += 1) {
    starts.push(await measureFirstAnswer(host, path));
  }
  context.print(`first answers after ${starts.join(', ')} s`);
  await sleep(idleMilliseconds);
  const idle = residentMegabytes(host.node);
  const busy = await measureBusyMemory(host, path);
  const sorted = [...starts].sort((first, second) => first - second);
  return {
    baseline: null,
    first_answer_s: sorted[Math.floor(sorted.length / 2)],
    idle_rss_mb: idle,
    busy_rss_mb: busy,
    first_answers_s: starts,
    busy_calls_per_second: busyCallsPerSecond,
    nodes: cluster.hosts.length,
  };
}

async function measureFirstAnswer(host: Host, path: CallPath): Promise<number> {
  await host.node.kill();
  const start = performance.now();
  host.node.start();
  while ((await path.measure('start')) === undefined) {
    if (performance.now() - start > startLimitMilliseconds) {
      throw new Error(`starting ${host.plan.nodeId}: no answer in ${startLimitMilliseconds} ms`);
    }
    await sleep(5);
  }
  return Math.round(performance.now() - start) / millisecondsPerSecond;
}

/** Gives the greatest memory that is seen while calls go through the node. */
async function measureBusyMemory(host: Host, path: CallPath): Promise<number> {
  const period = millisecondsPerSecond / busyCallsPerSecond;
  const pending: Promise<unknown>[] = [];
  const start = performance.now();
  let greatest = 0;
  for (let due = 0; due < busyMilliseconds; due += period) {
    const wait = start + due - performance.now();
    if (wait >= 1) await sleep(wait);
    pending.push(path.measure(`busy-${pending.length}`));
    if (pending.length % busyCallsPerSecond === 0) {
      greatest = Math.max(greatest, residentMegabytes(host.node));
    }
  }
  await Promise.all(pending);
  return greatest;
}
