import type { RandomSource } from '@hickorybridge/utils';
import { createServer } from 'node:net';

import { loopback } from './meshFiles.js';

/** Below the ports that the system gives to outgoing connections, and apart from other programs. */
const firstPort = 20_000;
const lastPort = 24_999;
const maxTries = 100;

/** Finds a block of free ports, and gives the first. */
export async function findPorts(count: number, random: RandomSource): Promise<number> {
  for (let tries = 0; tries < maxTries; tries += 1) {
    const first = firstPort + random.integerBelow(lastPort - firstPort + 1 - count);
    if (await areFree(first, count)) return first;
  }
  throw new Error(
    `finding ${count} free ports in a row: none between ${firstPort} and ${lastPort} on ${loopback}`,
  );
}

async function areFree(first: number, count: number): Promise<boolean> {
  for (let port = first; port < first + count; port += 1) {
    if (!(await isFree(port))) return false;
  }
  return true;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, loopback, () => server.close(() => resolve(true)));
  });
}
