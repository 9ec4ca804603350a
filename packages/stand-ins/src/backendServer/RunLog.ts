import { closeSync, existsSync, openSync, readFileSync, writeSync } from 'node:fs';
import type { Run } from './run.js';

interface RunLine {
  readonly processId: number;
  readonly number: number;
  readonly run: Run;
}

/**
 * Appends the runs of a backend server to a file. Writes are synchronous, so that the run log of
 * a killed process is complete.
 */
export class RunLog {
  readonly #file: number;

  #open = true;

  constructor(path: string) {
    this.#file = openSync(path, 'a');
  }

  /** Appends the present state of a run; `number` is the place of the run in its process. */
  append(number: number, run: Run): void {
    const line: RunLine = { processId: process.pid, number, run };
    if (this.#open) writeSync(this.#file, `${JSON.stringify(line)}\n`);
  }

  close(): void {
    if (!this.#open) return;
    this.#open = false;
    closeSync(this.#file);
  }
}

/** Reads the last state of each run from a run log, of all processes that wrote it. */
export function readRunLog(path: string): Run[] {
  if (!existsSync(path)) return [];
  const runs = new Map<string, Run>();
  for (const text of readFileSync(path, 'utf8').split('\n')) {
    if (text.endsWith('}')) {
      const line: RunLine = JSON.parse(text);
      runs.set(`${line.processId}/${line.number}`, line.run);
    }
  }
  return [...runs.values()];
}
