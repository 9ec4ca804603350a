import { setTimeout as sleep } from 'node:timers/promises';
import { hashString } from '@hickorybridge/utils';
import type { DeploymentCluster } from '../cluster/DeploymentCluster.js';
import type { FaultDriver } from '../faults/FaultDriver.js';
import { isEvent } from '../trace/traceEntry.js';
import type { TraceEntry, TraceRequest } from '../trace/traceEntry.js';
import { Caller } from './Caller.js';
import type { CallerTarget } from './Caller.js';
import type { CallerRecord } from './reply.js';

/** What to drive. */
export interface DriveOptions {
  readonly cluster: DeploymentCluster;
  readonly entries: readonly TraceEntry[];
  readonly faults: FaultDriver;
  /** Distinguishes the marks of repetitions of a trace. */
  readonly pass: string;
}

/** Time after the last run for its record to be written, in milliseconds. */
const settleMilliseconds = 300;

/** Sends the requests of a trace at their times, carries out its events, and waits for the end. */
export async function driveTrace(options: DriveOptions): Promise<CallerRecord[]> {
  const { cluster, entries, faults, pass } = options;
  await using caller = new Caller(cluster.deployment);
  const sent: Promise<CallerRecord>[] = [];
  const start = performance.now();
  for (const [index, entry] of entries.entries()) {
    const wait = start + entry.time - performance.now();
    if (wait >= 1) await sleep(wait);
    if (isEvent(entry)) faults.begin(entry);
    else sent.push(caller.send(makeSending(cluster, entry, { index, pass })));
  }
  const records = await Promise.all(sent);
  await faults.finish();
  await sleep(settleMilliseconds);
  return records;
}

function makeSending(
  cluster: DeploymentCluster,
  entry: TraceRequest,
  { index, pass }: { index: number; pass: string },
) {
  const key = entry.key === undefined ? undefined : `${pass}-${entry.key}`;
  return {
    entry: { ...entry, key },
    mark: `${pass}-${index}`,
    work: `work-${index}`,
    targets: targetsFor(cluster, entry.region, `work-${index}`),
  };
}

/** A caller uses the nodes of its region in an order of its own. */
function targetsFor(cluster: DeploymentCluster, region: string, work: string): CallerTarget[] {
  const near = cluster.hosts.filter((host) => host.plan.region === region);
  const first = hashString(work) % Math.max(1, near.length);
  return [...near.slice(first), ...near.slice(0, first)].map((host) => ({
    nodeId: host.plan.nodeId,
    url: host.callersUrl,
  }));
}
