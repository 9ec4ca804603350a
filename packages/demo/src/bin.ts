#!/usr/bin/env node
import { formatResult, formatSummary } from './formatResult.js';
import { runDemo } from './runDemo.js';

const failedCode = 1;
const millisecondsPerSecond = 1_000;
const start = performance.now();

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printProgress(message: string): void {
  const seconds = (performance.now() - start) / millisecondsPerSecond;
  print(`${seconds.toFixed(1).padStart(5)} s  ${message}`);
}

try {
  const result = await runDemo(printProgress);
  print(`\n${formatResult(result)}\n`);
  result.failures.forEach((failure) => print(`FAILED ${failure}`));
  result.accounting.examples.forEach((example) => print(`FAILED ${example}`));
  print(formatSummary(result));
  const { ranTwice, cutOff, unaccounted } = result.accounting;
  if (result.failures.length > 0 || ranTwice + cutOff + unaccounted > 0) {
    process.exitCode = failedCode;
  }
} catch (error) {
  process.stderr.write(`demo: ${error instanceof Error ? error.message : error}\n`);
  process.exitCode = failedCode;
}
