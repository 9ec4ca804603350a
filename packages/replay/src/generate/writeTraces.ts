import { mkdir, readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { formatProblem, parseDeployment } from '@hickorybridge/configuration';
import { hashString } from '@hickorybridge/utils';
import { stringify } from 'smol-toml';
import { repositoryPath } from '../cluster/binaries.js';
import type { TraceEntry } from '../trace/traceEntry.js';
import { pointScenarios } from './pointScenarios.js';
import { makeContext } from './scenarioSource.js';
import type { ScenarioContext } from './scenarioSource.js';
import { workloadScenarios } from './workloadScenarios.js';

const deploymentNames = ['litoteca', 'derwent'] as const;

type Unseeded = ReturnType<typeof workloadScenarios>[number] & {
  readonly point?: number | 'workload';
};

/** Makes all traces of both deployments from a seed and writes them to a folder. */
export async function writeTraces(folder: string, seed: number): Promise<string[]> {
  await mkdir(folder, { recursive: true });
  const written: string[] = [];
  for (const name of deploymentNames) {
    const file = repositoryPath(`examples/${name}.toml`);
    const parsed = parseDeployment(await readFile(file, 'utf8'), file);
    if (!parsed.ok) throw new Error(parsed.error.map(formatProblem).join('\n'));
    const context = makeContext(parsed.value, hashString(`${name}/${seed}`));
    for (const scenario of scenariosOf(context)) {
      written.push(await writeScenario({ folder, deployment: name, seed, scenario }));
    }
  }
  return written;
}

function scenariosOf(context: ScenarioContext): Unseeded[] {
  return [...workloadScenarios(context), ...pointScenarios(context)];
}

async function writeScenario(options: {
  readonly folder: string;
  readonly deployment: string;
  readonly seed: number;
  readonly scenario: Unseeded;
}): Promise<string> {
  const { folder, deployment, seed, scenario } = options;
  const { name, title, faults, entries, expect, point = 'workload' } = scenario;
  const base = path.join(folder, `${deployment}-${name}`);
  const sorted = [...entries].sort((first, second) => first.time - second.time);
  await writeFile(`${base}.jsonl`, sorted.map(formatEntry).join(''));
  await writeFile(`${base}.toml`, stringify({ title, deployment, point, faults, seed, expect }));
  return `${base}.jsonl`;
}

function formatEntry(entry: TraceEntry): string {
  return `${JSON.stringify(entry)}\n`;
}
