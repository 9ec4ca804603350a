#!/usr/bin/env node
import { hostname, userInfo } from 'node:os';
import { HttpPlatformStore } from '@hickorybridge/store';
import { systemClock } from '@hickorybridge/utils';
import { ExitCode } from './ExitCode.js';
import { runCommandLine } from './runCommandLine.js';

// A reader that has seen enough, as in `hickorybridge top | head`, is no failure.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
  process.exit(ExitCode.done);
});

process.exitCode = await runCommandLine(process.argv.slice(2), {
  clock: systemClock,
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
  environment: process.env,
  openStore: (url, timeoutMilliseconds) => new HttpPlatformStore({ url, timeoutMilliseconds }),
  operator: `${userInfo().username}@${hostname()}`,
});
