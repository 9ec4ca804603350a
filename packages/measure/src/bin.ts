#!/usr/bin/env node
import { execFileSync } from 'node:child_process';
import sade from 'sade';
import { measures } from './measures.js';

const failedCode = 1;
const usageCode = 2;
const defaultSeed = '2026';

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Gives the short hash of the commit, with a mark when the working copy differs from it. */
function describeCommit(): string {
  const git = (...words: string[]) => execFileSync('git', words, { encoding: 'utf8' }).trim();
  const hash = git('rev-parse', '--short', 'HEAD');
  return git('status', '--porcelain') === '' ? hash : `${hash}-modified`;
}

async function run(name: string, seed: number): Promise<void> {
  const measure = measures[name];
  if (measure === undefined) {
    const known = Object.keys(measures).join(', ');
    process.stderr.write(`measure: there is no measure ${name}; expected one of ${known}\n`);
    process.exitCode = usageCode;
    return;
  }
  const commit = describeCommit();
  try {
    const result = await measure({ seed, commit, print });
    print(JSON.stringify({ measure: name, seed, commit, ...result }));
  } catch (error) {
    process.stderr.write(`measure ${name}: ${error instanceof Error ? error.message : error}\n`);
    process.exitCode = failedCode;
  }
}

sade('measure <name>', true)
  .describe(`Runs one measure and prints one JSON object last: ${Object.keys(measures).join(', ')}`)
  .option('--seed', 'Seed of all random numbers', defaultSeed)
  .action((name: string, options: { seed: string }) => run(name, Number(options.seed)))
  .parse(process.argv);
