import assert from 'node:assert/strict';
import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, open, rm } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';

const host = '127.0.0.1';
const program = path.resolve(import.meta.dirname, '../bin.js');
const timeoutMilliseconds = 15_000;

async function findPorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, host));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  for (const server of servers) server.close();
  return ports;
}

async function settingsText(): Promise<string> {
  const [callers, announcements, operators, peers, store] = await findPorts(5);
  return `
[node]
id = "n1"
region = "south"
failureDomain = "south-1"
[listeners]
callers = "${host}:${callers}"
announcements = "${host}:${announcements}"
operators = "${host}:${operators}"
peers = "${host}:${peers}"
[store]
url = "http://${host}:${store}"
[shutdown]
noticeMilliseconds = 300
graceMilliseconds = 300
[log]
format = "json"
`;
}

/** Starts `hickorybridged` and waits until it reads its settings, which `provideSettings` gives. */
async function startProcess(t: TestContext) {
  const directory = await mkdtemp(path.join(tmpdir(), 'node-process-'));
  t.after(() => rm(directory, { recursive: true }));
  const file = path.join(directory, 'node.toml');
  await promisify(execFile)('mkfifo', [file]);
  const child = spawn(process.execPath, [program, '--settings', file], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  t.after(() => child.kill('SIGKILL'));
  let output = '';
  child.stderr.on('data', (data: Buffer) => {
    output += data.toString('utf8');
  });
  const ended = once(child, 'close').then(([code, signal]) => signal ?? code);
  // Opening a pipe for writing waits for its reader.
  const pipe = await open(file, 'w');
  return {
    signal: (name: NodeJS.Signals) => child.kill(name),
    waitForEnd: () => Promise.race([ended, sleep(timeoutMilliseconds, 'runs', { ref: false })]),
    waitForOutput: async (text: string) => {
      const end = Date.now() + timeoutMilliseconds;
      while (!output.includes(text)) {
        assert.equal(
          child.signalCode ?? child.exitCode,
          null,
          `ended without "${text}": ${output}`,
        );
        assert.ok(Date.now() < end, `no "${text}" in time: ${output}`);
        await sleep(10);
      }
    },
    provideSettings: async () => {
      await pipe.writeFile(await settingsText());
      await pipe.close();
    },
    closeOutput: () => child.stderr.destroy(),
    close: () => pipe.close(),
  };
}

describe('the process hickorybridged', () => {
  it('guards against a stop during the start that ends the process by the signal', async (t) => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      const node = await startProcess(t);
      node.signal(signal);
      await sleep(200);
      // The process waits for its pending read before it exits.
      await node.close();
      assert.equal(await node.waitForEnd(), 0);
    }
  });

  it('guards against SIGHUP that ends a node, at its start or later', async (t) => {
    const node = await startProcess(t);
    node.signal('SIGHUP');
    await node.provideSettings();
    await node.waitForOutput('"settings-not-reloaded"');
    node.signal('SIGHUP');
    node.signal('SIGTERM');
    await node.waitForOutput('"node-stopping"');
    assert.equal(await node.waitForEnd(), 0);
  });

  it('guards against a reader of the log that takes the node with it when it ends', async (t) => {
    const node = await startProcess(t);
    node.signal('SIGHUP');
    await node.provideSettings();
    await node.waitForOutput('"settings-not-reloaded"');
    node.closeOutput();
    // Each signal writes a line.
    for (let line = 0; line < 5; line += 1) {
      node.signal('SIGHUP');
      await sleep(50);
    }
    node.signal('SIGTERM');
    assert.equal(await node.waitForEnd(), 0);
  });

  it('guards against an operator who cannot end a stop that takes too long', async (t) => {
    const node = await startProcess(t);
    node.signal('SIGHUP');
    await node.provideSettings();
    await node.waitForOutput('"settings-not-reloaded"');
    node.signal('SIGTERM');
    await node.waitForOutput('"node-stopping"');
    node.signal('SIGTERM');
    assert.equal(await node.waitForEnd(), 1);
  });
});
