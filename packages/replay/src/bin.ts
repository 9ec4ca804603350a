#!/usr/bin/env node
import { readFile, readdir } from 'node:fs/promises';
import path from 'node:path';
import { formatProblem, parseDeployment } from '@hickorybridge/configuration';
import sade from 'sade';
import { makeChaosTrace } from './chaos/makeChaosTrace.js';
import { repositoryPath } from './cluster/binaries.js';
import { writeTraces } from './generate/writeTraces.js';
import { replayTrace } from './replayTrace.js';
import type { ReplayReport } from './replayTrace.js';
import { formatDetails, formatReports, verdictOf } from './report/formatReport.js';
import { readTrace } from './trace/readTrace.js';
import type { Trace } from './trace/readTrace.js';

interface Options {
  readonly all?: boolean;
  readonly chaos?: string;
  readonly seconds: string;
  readonly deployment: string;
  readonly generate?: string;
}

const tracesFolder = repositoryPath('packages/replay/traces');
const failedCode = 1;
const usageCode = 2;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function replayAll(traces: readonly Trace[]): Promise<void> {
  const reports: ReplayReport[] = [];
  for (const trace of traces) {
    try {
      const report = await replayTrace(trace, (message) => print(`  ${message}`));
      reports.push(report);
      print(formatDetails(report));
      print(formatReports([report]));
    } catch (error) {
      print(`FAILED ${trace.name}: ${error instanceof Error ? error.message : error}`);
    }
  }
  const proved = reports.filter((report) => verdictOf(report) === 'proved');
  print('');
  print(formatReports(reports));
  const failed = traces.length - proved.length;
  print(JSON.stringify({ points: traces.length, proved: proved.length, failed }));
  if (failed > 0) process.exitCode = failedCode;
}

async function readAllTraces(): Promise<Trace[]> {
  const files = (await readdir(tracesFolder)).filter((file) => file.endsWith('.jsonl')).sort();
  return Promise.all(files.map((file) => readTrace(path.join(tracesFolder, file))));
}

async function readNamedTrace(name: string): Promise<Trace> {
  return readTrace(name.endsWith('.jsonl') ? name : path.join(tracesFolder, `${name}.jsonl`));
}

async function makeChaos(options: Options): Promise<Trace> {
  const file = repositoryPath(`examples/${options.deployment}.toml`);
  const parsed = parseDeployment(await readFile(file, 'utf8'), file);
  if (!parsed.ok) throw new Error(parsed.error.map(formatProblem).join('\n'));
  const seed = Number(options.chaos);
  return makeChaosTrace({ deployment: parsed.value, seed, seconds: Number(options.seconds) });
}

async function run(trace: string | undefined, options: Options): Promise<void> {
  if (options.generate !== undefined) {
    const files = await writeTraces(tracesFolder, Number(options.generate));
    print(`wrote ${files.length} traces to ${tracesFolder}`);
    return;
  }
  if (options.chaos !== undefined) return replayAll([await makeChaos(options)]);
  if (options.all === true) return replayAll(await readAllTraces());
  if (trace !== undefined) return replayAll([await readNamedTrace(trace)]);
  process.stderr.write('replay: a trace, --all, --chaos SEED or --generate SEED is expected\n');
  process.exitCode = usageCode;
}

sade('replay [trace]', true)
  .describe('Replays recorded traces with faults against real processes and checks the outcomes.')
  .option('--all', 'Replay all traces of packages/replay/traces')
  .option('--chaos', 'Replay a random mix of faults from this seed')
  .option('--seconds', 'Length of a random mix, in seconds', '10')
  .option('--deployment', 'Deployment of a random mix', 'litoteca')
  .option('--generate', 'Write the traces anew from this seed')
  .action(async (trace: string | undefined, options: Options) => {
    try {
      await run(trace, options);
    } catch (error) {
      process.stderr.write(`replay: ${error instanceof Error ? error.message : error}\n`);
      process.exitCode = failedCode;
    }
  })
  .parse(process.argv);
