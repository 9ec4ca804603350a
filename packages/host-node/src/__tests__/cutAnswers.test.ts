import { BackendFault } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import path from 'node:path';
import { it, type TestContext } from 'node:test';
import { promisify } from 'node:util';

import { createConfiguration, startFleet, waitUntil } from './fleet.js';
import type { SlowCallerResult } from './slowCaller.js';

const timeoutMilliseconds = 300;
const callersOfEachHost = 4;
const answersOfEachCaller = 25;
const slowCaller = path.join(import.meta.dirname, 'slowCaller.js');

async function startHosts(t: TestContext) {
  const { members, store } = await startFleet(t, ['one', 'two']);
  store.put('config', 'main', createConfiguration(2, `${timeoutMilliseconds}ms`));
  await waitUntil(() => members.every(({ node }) => node.configurationVersion === 2));
  return members;
}

async function runCaller(port: number, name: string): Promise<SlowCallerResult> {
  const parameters = [slowCaller, String(port), name, String(answersOfEachCaller)];
  const { stdout } = await promisify(execFile)(process.execPath, parameters);
  return JSON.parse(stdout) as SlowCallerResult;
}

// The runtime of such a caller takes some resets for the end of an answer without a length, so a few
// answers would show nothing.
it('guards against an answer without a length that looks whole to a slow caller after its timeout', async (t) => {
  const members = await startHosts(t);
  const results: SlowCallerResult[] = [];
  await Promise.all(
    members.flatMap(({ backend, settings }) => {
      Object.assign(backend, { fault: BackendFault.endlessBody });
      return Array.from({ length: callersOfEachHost }, async (_value, index) => {
        const { port } = settings.listeners.callers;
        results.push(await runCaller(port, `${settings.nodeId}-${index}`));
      });
    }),
  );
  const total = (kind: keyof SlowCallerResult) =>
    results.reduce((sum, result) => sum + result[kind], 0);
  t.diagnostic(`${total('cut')} cut, ${total('whole')} taken for whole, ${total('other')} other`);
  assert.equal(total('whole'), 0);
  assert.equal(
    total('cut'),
    callersOfEachHost * members.length * answersOfEachCaller,
    'too few answers were cut to show anything',
  );
});
