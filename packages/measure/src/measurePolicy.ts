import { readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { PolicyName } from '@hickorybridge/configuration';
import {
  DeploymentCluster,
  driveTrace,
  FaultDriver,
  latenciesByKind,
  NodeProbe,
  readTrace,
  repositoryPath,
  Told,
  waitUntil,
} from '@hickorybridge/replay';
import type { CallerRecord, Trace } from '@hickorybridge/replay';
import type { MeasureContext, MeasureResult } from './Measure.js';

const deploymentNames = ['litoteca', 'derwent'] as const;

/** Traces that every policy meets, as names without the deployment. */
const traceNames = ['load-shift', 'straggler', 'noisy-neighbour'] as const;

/** Trace that is driven first and does not count: new processes are slow until they are compiled. */
const warmUpTrace = 'quiet-day';

/** Limit for a changed policy to take effect on all nodes, in milliseconds. */
const inEffectMilliseconds = 15_000;

const bytesPerKilobyte = 1_000;

/** Requests of one policy, over all traces. */
interface PolicyPass {
  readonly records: CallerRecord[];
  linkBytes: number;
}

/**
 * Compares the routing policies on the same traces with real processes. The policies take turns
 * on each trace, in a running deployment, so that slow changes of the machine meet all of them.
 */
export async function measurePolicy(context: MeasureContext): Promise<MeasureResult> {
  const results: Record<string, unknown> = {};
  for (const name of deploymentNames) results[name] = await measureDeployment(name, context);
  const baseline = Object.values(PolicyName).filter((policy) => policy !== PolicyName.adaptive);
  return { baseline, traces: traceNames, ...results };
}

async function measureDeployment(name: string, context: MeasureContext) {
  const deploymentFile = repositoryPath(`examples/${name}.toml`);
  const { seed } = context;
  await using cluster = await DeploymentCluster.start({ deploymentFile, seed, logLevel: 'warn' });
  const traces = await Promise.all(traceNames.map((trace) => readTraceOf(name, trace)));
  const policies = Object.values(PolicyName);
  const passes = new Map<PolicyName, PolicyPass>();
  for (const policy of policies) passes.set(policy, { records: [], linkBytes: 0 });
  const warmUp = { trace: await readTraceOf(name, warmUpTrace), policy: PolicyName.adaptive };
  await drivePass(cluster, { ...warmUp, deploymentFile, pass: { records: [], linkBytes: 0 } });
  for (const [turn, trace] of traces.entries()) {
    for (const policy of [...policies.slice(turn), ...policies.slice(0, turn)]) {
      await applyPolicy(cluster, deploymentFile, policy);
      const pass = passes.get(policy);
      if (pass !== undefined) await drivePass(cluster, { trace, policy, deploymentFile, pass });
    }
  }
  const figures = new Map(
    [...passes].map(([policy, pass]) => [policy, figuresOf(cluster, pass)] as const),
  );
  for (const [policy, figure] of figures) {
    context.print(`${name}, ${policy}: ${JSON.stringify(figure)}`);
  }
  return compare(figures);
}

async function readTraceOf(deployment: string, trace: string): Promise<Trace> {
  return readTrace(repositoryPath(`packages/replay/traces/${deployment}-${trace}.jsonl`));
}

async function drivePass(
  cluster: DeploymentCluster,
  options: {
    readonly trace: Trace;
    readonly policy: PolicyName;
    readonly deploymentFile: string;
    readonly pass: PolicyPass;
  },
): Promise<void> {
  const { trace, policy, deploymentFile, pass } = options;
  const faults = new FaultDriver(cluster, deploymentFile);
  const before = cluster.link.forth.bytes + cluster.link.back.bytes;
  const { entries } = trace;
  const records = await driveTrace({ cluster, entries, faults, pass: `${policy}-${trace.name}` });
  pass.records.push(...records);
  pass.linkBytes += cluster.link.forth.bytes + cluster.link.back.bytes - before;
}

/** Applies the deployment with another policy and waits until it is in effect on all nodes. */
async function applyPolicy(
  cluster: DeploymentCluster,
  deploymentFile: string,
  policy: PolicyName,
): Promise<void> {
  const text = await readFile(deploymentFile, 'utf8');
  const file = path.join(cluster.folder, `policy-${policy}.toml`);
  await writeFile(file, text.replace(/^policy = ".*"$/m, `policy = "${policy}"`));
  const result = await cluster.apply(file, '--json');
  if (result.code !== 0) throw new Error(`applying ${policy}: ${result.output}${result.errors}`);
  const { number } = JSON.parse(result.output) as { readonly number: number };
  const probe = new NodeProbe(cluster);
  await waitUntil(async () => (await probe.lowestConfiguration()) >= number, {
    limitMilliseconds: inEffectMilliseconds,
    description: `policy ${policy} is in effect`,
  });
  await probe.stop();
}

/**
 * The 99th percentile of each kind, weighted by the deployment's schedule. A request that was not
 * answered counts with the deadline of its kind, so that a policy gains nothing by refusing.
 */
function figuresOf(cluster: DeploymentCluster, pass: PolicyPass) {
  const kinds = cluster.deployment.services.flatMap((service) => service.kinds);
  const counted = pass.records.map((record) => {
    if (record.told === Told.answered) return record;
    const kind = kinds.find((candidate) => candidate.name === record.kind);
    const milliseconds = kind?.deadlineMilliseconds ?? record.milliseconds;
    return { ...record, told: Told.answered, milliseconds };
  });
  const latencies = latenciesByKind(counted);
  const weighted = kinds.flatMap((kind) => {
    const latency = latencies.get(kind.name);
    return latency === undefined ? [] : [{ weight: kind.weight, p99: latency.p99 }];
  });
  const weights = weighted.reduce((sum, { weight }) => sum + weight, 0);
  const p99 = weighted.reduce((sum, entry) => sum + entry.weight * entry.p99, 0) / weights;
  const answered = pass.records.filter((record) => record.told === Told.answered).length;
  return {
    p99_ms: Math.round(p99 * 10) / 10,
    requests: pass.records.length,
    answered,
    link_kilobytes: Math.round(pass.linkBytes / bytesPerKilobyte),
    p99_by_kind_ms: Object.fromEntries([...latencies].map(([kind, { p99: own }]) => [kind, own])),
  };
}

function compare(figures: ReadonlyMap<PolicyName, ReturnType<typeof figuresOf>>) {
  const ours = figures.get(PolicyName.adaptive);
  const [best] = [...figures]
    .filter(([policy]) => policy !== PolicyName.adaptive)
    .sort(([, first], [, second]) => first.p99_ms - second.p99_ms);
  if (ours === undefined || best === undefined) throw new Error('a policy was not measured');
  const [policy, figure] = best;
  return {
    ours,
    best_baseline: { policy, ...figure },
    ratio_p99: Math.round((ours.p99_ms / figure.p99_ms) * 1_000) / 1_000,
  };
}
