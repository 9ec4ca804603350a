#!/usr/bin/env node
import { hostname, userInfo } from 'node:os';
import * as storePackage from '@hickorybridge/store';
import type { PlatformStore } from '@hickorybridge/store';
import { systemClock } from '@hickorybridge/utils';
import { runCommandLine } from './runCommandLine.js';

interface StoreOptions {
  readonly url: string;
  readonly timeoutMilliseconds: number;
}
interface StorePackage {
  readonly HttpPlatformStore: new (options: StoreOptions) => PlatformStore;
}

// The store's client lands with its own package; until then its class is looked up at run time.
const { HttpPlatformStore } = storePackage as unknown as StorePackage;

process.exitCode = await runCommandLine(process.argv.slice(2), {
  clock: systemClock,
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
  environment: process.env,
  openStore: (url, timeoutMilliseconds) => new HttpPlatformStore({ url, timeoutMilliseconds }),
  operator: `${userInfo().username}@${hostname()}`,
});
