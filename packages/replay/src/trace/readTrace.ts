import { readFile } from 'node:fs/promises';
import path from 'node:path';
import { parse } from 'smol-toml';
import { z } from 'zod';
import { scenarioSchema } from '../check/expectations.js';
import type { Scenario } from '../check/expectations.js';
import { traceEntry } from './traceEntry.js';
import type { TraceEntry } from './traceEntry.js';

/** A trace and the outcomes that are stated beside it. */
export interface Trace {
  readonly name: string;
  readonly scenario: Scenario;
  /** Sorted by time. */
  readonly entries: readonly TraceEntry[];
}

/** Reads `NAME.jsonl` and `NAME.toml`. */
export async function readTrace(file: string): Promise<Trace> {
  const text = await readFile(file, 'utf8');
  const entries = text
    .split('\n')
    .flatMap((line, index) => (line.trim() === '' ? [] : [parseLine(line, file, index + 1)]));
  const scenario = await readScenario(file.replace(/\.jsonl$/, '.toml'));
  const name = path.basename(file, '.jsonl');
  return { name, scenario, entries: entries.sort((a, b) => a.time - b.time) };
}

function parseLine(line: string, file: string, number: number): TraceEntry {
  const parsed = traceEntry.safeParse(JSON.parse(line));
  if (parsed.success) return parsed.data;
  throw new Error(`reading ${file}:${number}: ${line}: ${z.prettifyError(parsed.error)}`);
}

async function readScenario(file: string): Promise<Scenario> {
  const parsed = scenarioSchema.safeParse(parse(await readFile(file, 'utf8')));
  if (parsed.success) return parsed.data;
  throw new Error(`reading ${file}: ${z.prettifyError(parsed.error)}`);
}
