import { runCommandLine } from '../index.js';
import { MemoryStore } from './MemoryStore.js';

/** Runs a command against a store in memory; time passes only in sleeps. */
export async function runInMemory(store: MemoryStore, ...words: string[]) {
  const output: string[] = [];
  const errors: string[] = [];
  let now = 0;
  const code = await runCommandLine(words, {
    clock: {
      now: () => now,
      wallTime: () => now,
      sleep: async (milliseconds) => {
        now += milliseconds;
      },
    },
    print: (line) => output.push(line),
    printError: (line) => errors.push(line),
    environment: {},
    openStore: () => store,
    operator: 'test',
  });
  return { code, output: output.join('\n'), errors: errors.join('\n') };
}
