import { setTimeout as sleep } from 'node:timers/promises';
import { deploymentKey, parseAcceptedDeployment } from '@hickorybridge/configuration';
import { HttpPlatformStore } from '@hickorybridge/store';
import { account } from './check/accounting.js';
import type { Accounting } from './check/accounting.js';
import { judge } from './check/judge.js';
import { latenciesByKind } from './check/latencies.js';
import type { Latency } from './check/latencies.js';
import { NodeProbe } from './check/NodeProbe.js';
import { repositoryPath } from './cluster/binaries.js';
import { DeploymentCluster } from './cluster/DeploymentCluster.js';
import { waitUntil } from './cluster/waitUntil.js';
import { driveTrace } from './drive/driveTrace.js';
import { FaultDriver } from './faults/FaultDriver.js';
import type { Trace } from './trace/readTrace.js';

/** Time in which a configuration must be in effect everywhere, in milliseconds (section 1.5). */
const inEffectMilliseconds = 15_000;

/** Time without requests in which the link carries control traffic only, in milliseconds. */
const idleMilliseconds = 2_000;

const millisecondsPerSecond = 1_000;

/** Time limit for reading the store at the end, in milliseconds. */
const storeTimeoutMilliseconds = 5_000;

/** Exit codes of the operators' command line that the checks distinguish. */
const ExitCode = { done: 0, wrongUsage: 2, unknown: 4 } as const;

/** Bytes a second on the link without requests. */
export interface LinkTraffic {
  /** From the region with the store. */
  readonly forth: number;
  readonly back: number;
}

/** What a replay has shown. */
export interface ReplayReport {
  readonly trace: Trace;
  readonly accounting: Accounting;
  readonly latencies: ReadonlyMap<string, Latency>;
  readonly idleLink: LinkTraffic;
  /** Differences from the stated outcomes; none when they are proved. */
  readonly findings: readonly string[];
}

/** Starts a deployment, replays a trace on it and checks the stated outcomes. */
export async function replayTrace(
  trace: Trace,
  onProgress: (message: string) => void = () => {},
): Promise<ReplayReport> {
  const deploymentFile = repositoryPath(`examples/${trace.scenario.deployment}.toml`);
  const { seed, expect } = trace.scenario;
  await using cluster = await DeploymentCluster.start({ deploymentFile, seed, onProgress });
  const idleLink = await measureIdleLink(cluster);
  const probe = new NodeProbe(cluster);
  const faults = new FaultDriver(cluster, deploymentFile);
  onProgress(`replaying ${trace.name}: ${trace.entries.length} lines`);
  const records = await driveTrace({ cluster, entries: trace.entries, faults, pass: trace.name });
  const failures = await faults.finish();
  const accepted = await readAcceptedNumber(cluster);
  const configurationNumber = await waitForConfiguration(probe, accepted);
  const overBudget = probe.regionsOverBudget(cluster.deployment.measuring);
  await probe.stop();
  const accounting = account({
    records,
    runs: cluster.hosts.flatMap((host) =>
      host.runs().map((run) => ({ hostId: host.plan.id, run })),
    ),
    leavings: faults.leavings,
    disturbedNodes: faults.disturbedNodes,
  });
  const latencies = latenciesByKind(records);
  const findings = judge(
    {
      accounting,
      latencies,
      configurationOlder: probe.configurationOlder,
      configurationNumber,
      forcedStops: faults.forcedStops,
      budgetsExceeded: [...overBudget, ...judgeLink(cluster, idleLink)],
      disruptions: [
        ...failures,
        ...judgeApplies(faults, accepted),
        ...cluster.unexpectedEnds().map((name) => `a process ended by itself: ${name}`),
        ...(configurationNumber < accepted
          ? [`configuration in effect: ${configurationNumber}, expected ${accepted} accepted`]
          : []),
      ],
    },
    expect,
  );
  return { trace, accounting, latencies, idleLink, findings };
}

async function measureIdleLink({ link }: DeploymentCluster): Promise<LinkTraffic> {
  const before = { forth: link.forth.bytes, back: link.back.bytes };
  await sleep(idleMilliseconds);
  const rate = (bytes: number) => Math.round((bytes * millisecondsPerSecond) / idleMilliseconds);
  return {
    forth: rate(link.forth.bytes - before.forth),
    back: rate(link.back.bytes - before.back),
  };
}

/** The budget holds for each direction. */
function judgeLink(cluster: DeploymentCluster, traffic: LinkTraffic): string[] {
  const limit = cluster.deployment.measuring.linkBytesPerSecond;
  return Object.entries(traffic)
    .filter(([, rate]) => rate > limit)
    .map(([name, rate]) => `control traffic on the link, ${name}: ${rate} B/s, limit ${limit}`);
}

/** Gives the number of the configuration that stands in the store. */
async function readAcceptedNumber(cluster: DeploymentCluster): Promise<number> {
  await using store = new HttpPlatformStore({
    url: cluster.storeUrl,
    timeoutMilliseconds: storeTimeoutMilliseconds,
  });
  const read = await store.read(deploymentKey);
  if (!read.ok) throw new Error(read.error.detail);
  const accepted = parseAcceptedDeployment(read.value?.value ?? '');
  return accepted.ok ? accepted.value.number : 0;
}

/**
 * The configuration rises by one with each apply that was told to be accepted, and may rise with
 * each whose outcome is unknown. No other apply may change it.
 */
function judgeApplies(faults: FaultDriver, accepted: number): string[] {
  const count = (...codes: number[]) =>
    faults.applies.filter((result) => codes.includes(result.code)).length;
  const least = 1 + count(ExitCode.done);
  const greatest = least + count(ExitCode.unknown);
  const wrong = faults.applies
    .filter((result) => result.code === ExitCode.wrongUsage)
    .map((result) => `apply: wrong usage: ${result.errors}`);
  if (accepted >= least && accepted <= greatest) return wrong;
  const codes = faults.applies.map((result) => result.code).join(', ');
  return [...wrong, `configuration in the store: ${accepted}, but applies ended with ${codes}`];
}

/** Waits until every node holds the accepted configuration; gives the lowest number at the end. */
async function waitForConfiguration(probe: NodeProbe, accepted: number): Promise<number> {
  let lowest = 0;
  const check = async () => {
    lowest = await probe.lowestConfiguration();
    return lowest >= accepted;
  };
  await waitUntil(check, {
    limitMilliseconds: inEffectMilliseconds,
    description: `configuration ${accepted} is in effect on every node`,
  }).catch(() => {});
  return lowest;
}
