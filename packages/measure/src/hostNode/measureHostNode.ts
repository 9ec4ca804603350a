import { setTimeout as sleep } from 'node:timers/promises';

import type { MeasureContext, MeasureResult } from '../Measure.js';
import { processorMicrosecondsOf, residentMegabytesOf } from '../processFigures.js';
import { HostFleet } from './HostFleet.js';

const services = 3;
/** Fleet sizes, from that of the small deployments to that of a grown one. */
const sizes = [12, 30, 60];
/** Share of requests that a host of the users' grown deployments gets. */
const callsPerHostAndSecond = 6;
const workMilliseconds = 120;
/** Connections between all nodes are open by then. */
const settleMilliseconds = 6000;
const phaseMilliseconds = 8000;

/** Measures what a node costs at rest and for each request, by the number of hosts. */
export async function measureHostNode(context: MeasureContext): Promise<MeasureResult> {
  const results: unknown[] = [];
  for (const hosts of sizes) {
    const result = await measureFleet(hosts);
    context.print(JSON.stringify(result));
    results.push(result);
  }
  return { baseline: null, callsPerHostAndSecond, workMilliseconds, results };
}

async function measureFleet(hosts: number) {
  await using fleet = await HostFleet.start({ hosts, services, workMilliseconds });
  await sleep(settleMilliseconds);
  const startUp = meanOf(fleet.processIds.map(processorMicrosecondsOf)) / 1000;
  const atRest = await processorShare(fleet, () => sleep(phaseMilliseconds));
  const statuses: number[] = [];
  const busy = await processorShare(fleet, () => load(fleet, hosts, statuses));
  return {
    hosts,
    start_ms: Math.round(startUp),
    rest_percent: percent(atRest),
    busy_percent: percent(busy),
    ms_per_call: Math.round(((busy - atRest) / callsPerHostAndSecond) * 1e5) / 100,
    resident_mb: Math.round(meanOf(fleet.processIds.map(residentMegabytesOf))),
    calls: statuses.length,
    not_answered: statuses.filter((status) => status !== 200).length,
  };
}

/** Gives the share of a core that a node uses on average while an action runs. */
async function processorShare(fleet: HostFleet, action: () => Promise<unknown>): Promise<number> {
  const before = meanOf(fleet.processIds.map(processorMicrosecondsOf));
  const start = performance.now();
  await action();
  const elapsed = (performance.now() - start) * 1000;
  return (meanOf(fleet.processIds.map(processorMicrosecondsOf)) - before) / elapsed;
}

async function load(fleet: HostFleet, hosts: number, statuses: number[]): Promise<void> {
  const period = 1000 / (callsPerHostAndSecond * hosts);
  const pending: Promise<unknown>[] = [];
  const start = performance.now();
  for (let due = 0; due < phaseMilliseconds; due += period) {
    const wait = start + due - performance.now();
    if (wait >= 1) await sleep(wait);
    const number = pending.length;
    const call = fleet.call(number, Math.floor(number / hosts), `r${number}`);
    pending.push(call.then((status) => statuses.push(status)));
  }
  await Promise.all(pending);
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function percent(share: number): number {
  return Math.round(share * 1e4) / 100;
}
