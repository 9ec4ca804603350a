import {
  account,
  DeploymentCluster,
  driveTrace,
  FaultDriver,
  NodeProbe,
  repositoryPath,
  TrafficSource,
  waitUntil,
} from '@hickorybridge/replay';
import type { Accounting, CallerRecord, PlacedRun, TraceEntry } from '@hickorybridge/replay';

/** Seed of the demonstration's requests and service times. */
const seed = 2026;

/** Length and rate of the demonstration's traffic. */
const trafficMilliseconds = 14_000;
const requestsPerSecond = 110;

/** Largest answer to a request with a key. */
const confirmationBytes = 4_000;

/** Backend server that is drained while requests flow. */
const drained = 'laboratory-2';

/** Time in which the changed configuration must be in effect, in milliseconds. */
const inEffectMilliseconds = 15_000;

/** Result of the demonstration. */
export interface DemoResult {
  readonly accounting: Accounting;
  readonly records: readonly CallerRecord[];
  readonly runs: readonly PlacedRun[];
  /** Number of the configuration in effect on all nodes at the end. */
  readonly configurationVersion: number;
  /** Steps that could not be carried out. */
  readonly failures: readonly string[];
}

/** Starts the Litoteca's deployment, sends requests, changes and drains it, and ends it again. */
export async function runDemo(onProgress: (message: string) => void): Promise<DemoResult> {
  const deploymentFile = repositoryPath('examples/litoteca.toml');
  await using cluster = await DeploymentCluster.start({ deploymentFile, seed, onProgress });
  const probe = new NodeProbe(cluster);
  const faults = new FaultDriver(cluster, deploymentFile);
  const traffic = new TrafficSource(cluster.deployment, seed);
  const entries: TraceEntry[] = [
    ...traffic
      .draw({ from: 0, until: trafficMilliseconds, requestsPerSecond, nonIdempotentShare: 0.3 })
      .map(withSmallConfirmation),
    { time: 3_000, event: 'apply' },
    { time: 5_000, event: 'drain', target: drained },
    { time: 10_000, event: 'return', target: drained },
  ];
  entries.sort((first, second) => first.time - second.time);
  announceSteps(entries, onProgress);
  const records = await driveTrace({ cluster, entries, faults, pass: 'demo' });
  const failures = await faults.finish();
  const configurationVersion = await waitForChange(probe);
  await probe.stop();
  const runs = cluster.hosts.flatMap((host) =>
    host.runs().map((run) => ({ hostId: host.plan.id, run })),
  );
  const { leavings, disturbedNodes } = faults;
  const accounting = account({ records, runs, leavings, disturbedNodes });
  const ends = cluster.unexpectedEnds().map((name) => `a process ended by itself: ${name}`);
  return { accounting, records, runs, configurationVersion, failures: [...failures, ...ends] };
}

/** An answer that is too large to be kept cannot be given again to a second sending of its key. */
function withSmallConfirmation(entry: TraceEntry): TraceEntry {
  if (!('size' in entry) || entry.key === undefined) return entry;
  return { ...entry, size: Math.min(entry.size, confirmationBytes) };
}

function announceSteps(
  entries: readonly TraceEntry[],
  onProgress: (message: string) => void,
): void {
  onProgress(`sending ${entries.length} requests from both regions, for 14 s`);
  const steps = {
    3_000: 'applying a changed configuration',
    5_000: `draining ${drained}`,
    10_000: `${drained} returns`,
  };
  for (const [time, message] of Object.entries(steps)) {
    setTimeout(() => onProgress(message), Number(time)).unref();
  }
}

async function waitForChange(probe: NodeProbe): Promise<number> {
  const limit = { limitMilliseconds: inEffectMilliseconds, description: 'change in effect' };
  await waitUntil(async () => (await probe.lowestConfiguration()) >= 2, limit).catch(() => {});
  return probe.lowestConfiguration();
}
