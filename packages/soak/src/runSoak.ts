import { repositoryPath, waitUntil } from '@hickorybridge/replay';
import { RandomSource } from '@hickorybridge/utils';
import { readFileSync } from 'node:fs';
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { loadavg, tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CheckResult } from './checks/Breach.js';
import { checkRun } from './checks/checkRun.js';
import { explain } from './checks/explain.js';
import { createSoak, type SoakParts } from './createSoak.js';
import { planDisturbances } from './disturbances/planDisturbances.js';
import { Profile } from './disturbances/Profile.js';
import { meshBounds } from './mesh/meshShape.js';
import { EventRecord } from './record/EventRecord.js';
import { StallMonitor } from './record/StallMonitor.js';

/** What a run is asked to do. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly profile: Profile;
  readonly hosts: number;
  /** Bundle of the node; the one that the build has made if absent. */
  readonly program?: string | undefined;
  /** Where files of the run are kept; if absent, they are deleted after a run without breaches. */
  readonly keep?: string | undefined;
  /** Ends the run early. */
  readonly signal?: AbortSignal | undefined;
}

/** What a run has shown. */
export interface SoakReport extends CheckResult {
  readonly directory: string;
  /** Delays of this program's event loop, in milliseconds. */
  readonly rig: { readonly p99: number; readonly longest: number };
  readonly loadAverage: number;
}

const eventsFile = 'events.jsonl';
const runFile = 'run.json';

const largestStartDelayMilliseconds = 300;
/** Longest deadline of a request, and the time until the last timers have run. */
const settleMilliseconds = 300;

/** Runs a deployment under the disturbances of a profile and checks what was seen from outside. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const directory = await createDirectory(options.keep);
  const program = path.resolve(options.program ?? repositoryPath('target/hickorybridge.cjs'));
  await writeFile(
    path.join(directory, runFile),
    `${JSON.stringify({ ...options, program, startedAt: Date.now(), signal: undefined })}\n`,
  );
  const report = await play(options, program, directory);
  if (options.keep === undefined && report.breaches.length === 0) {
    await rm(directory, { recursive: true });
  }
  return report;
}

async function play(options: SoakOptions, program: string, directory: string): Promise<SoakReport> {
  const random = new RandomSource(options.seed);
  const planRandom = random.fork();
  await using record = new EventRecord(path.join(directory, eventsFile));
  await using stalls = new StallMonitor(record);
  const tenants = options.profile === Profile.tenants;
  await using parts = await createSoak({ ...options, tenants, program, directory, record, random });
  // Also when this program ends by an error, no node outlives it.
  const killNodes = () => parts.hosts.forEach((host) => host.process.killNow());
  process.once('exit', killNodes);
  await Promise.race([playPhases(options, parts, random, planRandom), waitForAbort(options)]);
  process.removeListener('exit', killNodes);
  const result = checkRun(record.events);
  return { ...result, directory, rig: stalls.describe(), loadAverage: loadavg()[0] ?? 0 };
}

async function waitForAbort({ signal }: SoakOptions): Promise<void> {
  return new Promise((resolve) => {
    signal?.addEventListener('abort', () => resolve(), { once: true });
  });
}

async function playPhases(
  options: SoakOptions,
  parts: SoakParts,
  random: RandomSource,
  planRandom: RandomSource,
): Promise<void> {
  const { callers, driver, hosts, readiness, store } = parts;
  await store.start();
  for (const host of hosts) await host.startBackend();
  readiness.start();
  await Promise.all(
    hosts.map(async (host) => {
      await sleep(random.next() * largestStartDelayMilliseconds);
      host.process.start();
    }),
  );
  if (options.profile !== Profile.starts) await waitUntilStarted(parts);
  callers.start();
  const end = performance.now() + options.seconds * 1000;
  await driver.drive(planDisturbances({ ...options, random: planRandom }));
  await sleep(Math.max(0, end - performance.now()));
  await callers.stop();
  await waitUntilStarted(parts);
  await Promise.all(hosts.map((host) => host.process.close(meshBounds.grace)));
  await sleep(settleMilliseconds);
}

/** Waits for all nodes; one that is not ready within its bound is a matter of the checks. */
async function waitUntilStarted({ hosts, readiness }: SoakParts): Promise<void> {
  const started = () => hosts.every(({ node }) => readiness.isStarted(node));
  const limitMilliseconds = meshBounds.ready + meshBounds.grace;
  await waitUntil(started, { limitMilliseconds, description: 'all nodes are ready' }).catch(
    () => {},
  );
}

async function createDirectory(keep: string | undefined): Promise<string> {
  if (keep === undefined) return mkdtemp(path.join(tmpdir(), 'soak-'));
  await mkdir(keep, { recursive: true });
  return keep;
}

/** Explains the breaches of a run whose files were kept. */
export function explainRun(directory: string): string[] {
  const run = JSON.parse(readFileSync(path.join(directory, runFile), 'utf8')) as {
    startedAt: number;
  };
  return explain({ directory, eventsFile, startedAt: run.startedAt });
}
