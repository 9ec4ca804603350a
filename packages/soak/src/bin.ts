#!/usr/bin/env node
import path from 'node:path';
import sade from 'sade';

import { formatBreach } from './checks/Breach.js';
import { Profile } from './disturbances/Profile.js';
import { usualHosts } from './mesh/meshShape.js';
import { explainRun, runSoak } from './runSoak.js';

/** Options of the command line as given. */
interface CommandLine {
  readonly seed: string;
  readonly seconds: string;
  readonly profile: string;
  readonly hosts: string;
  readonly program?: string;
  readonly keep?: string;
  readonly explain?: string;
}

const breachCode = 1;
const usageCode = 2;
const interruptedCode = 130;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function refuse(detail: string): void {
  process.stderr.write(`soak: ${detail}\n`);
  process.exitCode = usageCode;
}

async function run(given: CommandLine): Promise<void> {
  if (given.explain !== undefined) {
    for (const line of explainRun(path.resolve(given.explain))) print(line);
    return;
  }
  const profile = Object.values(Profile).find((each) => each === given.profile);
  const [seed, seconds, hosts] = [given.seed, given.seconds, given.hosts].map(Number) as [
    number,
    number,
    number,
  ];
  if (profile === undefined) {
    const known = Object.values(Profile).join(', ');
    refuse(`there is no profile "${given.profile}"; expected one of ${known}`);
    return;
  }
  if (!Number.isInteger(seed) || !(seconds > 0) || !Number.isInteger(hosts) || hosts < 1) {
    refuse('--seed and --hosts take whole numbers, --seconds a number above 0');
    return;
  }
  const interruption = new AbortController();
  for (const name of ['SIGINT', 'SIGTERM'] as const) {
    process.once(name, () => interruption.abort());
  }
  const { keep, program } = given;
  const { signal } = interruption;
  const report = await runSoak({ seed, seconds, hosts, profile, program, keep, signal });
  for (const breach of report.breaches) print(formatBreach(breach));
  const { breaches, counts, directory, loadAverage, rig } = report;
  print(
    JSON.stringify({ profile, seed, seconds, hosts, breaches: breaches.length, ...counts, rig }),
  );
  print(`load average ${loadAverage.toFixed(1)}`);
  if (breaches.length > 0) print(`kept in ${directory}; --explain ${directory} names the causes`);
  if (signal.aborted) process.exit(interruptedCode);
  process.exit(breaches.length > 0 ? breachCode : 0);
}

sade('soak', true)
  .describe('Runs a deployment of real processes under signals and faults, and checks the rules')
  .option('--seed', 'Seed of all random numbers', '1')
  .option('--seconds', 'Time in which callers send requests', '60')
  .option('--profile', `Kind of run: ${Object.values(Profile).join(', ')}`, Profile.planned)
  .option('--hosts', 'Number of hosts', String(usualHosts))
  .option('--program', 'Bundle of the node; by default the one that the build has made')
  .option('--keep', 'Directory that keeps settings, logs and events')
  .option('--explain', 'Directory of a kept run whose breaches are explained')
  .action((options: CommandLine) => run(options))
  .parse(process.argv);
