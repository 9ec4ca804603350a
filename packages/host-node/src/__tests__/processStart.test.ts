import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, open, rename, rm, writeFile } from 'node:fs/promises';
import { createServer, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';

import { host } from './fleet.js';
import {
  bundleNode,
  createDirectory,
  findHostPorts,
  HostProcess,
  settingsText,
} from './HostProcess.js';

/** Sends a signal to the process itself at the first module that its program loads. */
const signalAtFirstModule = (program: string, signal: string) => `
const Module = require('node:module');
const load = Module._load;
Module._load = function (request, parent, ...rest) {
  if (parent?.filename === ${JSON.stringify(program)}) {
    Module._load = load;
    process.kill(process.pid, ${JSON.stringify(signal)});
  }
  return load.call(this, request, parent, ...rest);
};
`;

async function holdPort(t: TestContext, port: number): Promise<Server> {
  const server = createServer().listen(port, host);
  await once(server, 'listening');
  t.after(() => server.close());
  return server;
}

describe('the start of the process', () => {
  let programDirectory: string;
  let program: string;

  before(async () => {
    programDirectory = await mkdtemp(path.join(tmpdir(), 'host-program-'));
    program = await bundleNode(programDirectory);
  });

  after(() => rm(programDirectory, { recursive: true }));

  async function prepare(t: TestContext, retry?: string) {
    const ports = await findHostPorts();
    const settingsFile = path.join(await createDirectory(t), 'local.toml');
    await writeFile(settingsFile, settingsText(ports, 'desk', retry));
    /** Starts the process, which gets a signal at its first module if one is given. */
    const start = (signal?: NodeJS.Signals) =>
      HostProcess.start(t, {
        program,
        settingsFile,
        ...(signal === undefined ? {} : { preload: signalAtFirstModule(program, signal) }),
      });
    return { ports, settingsFile, start };
  }

  it('guards against SIGHUP that ends a process which still loads its modules', async (t) => {
    const { start } = await prepare(t);
    const node = await start('SIGHUP');
    await node.waitForOutput('node-started');
    node.signal('SIGTERM');
    assert.equal(await node.waitForEnd(), 0);
  });

  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    it(`guards against ${signal} that ends a loading process by the signal`, async (t) => {
      const { start } = await prepare(t);
      const node = await start(signal);
      assert.equal(await node.waitForEnd(), 0);
      assert.equal(node.output, '');
    });
  }

  it('guards against a reload that is lost, or fatal, while the settings are read', async (t) => {
    const { ports, settingsFile, start } = await prepare(t);
    await rm(settingsFile);
    await promisify(execFile)('mkfifo', [settingsFile]);
    const node = await start();
    // Opening a pipe for writing waits for its reader.
    const pipe = await open(settingsFile, 'w');
    const replacement = `${settingsFile}.new`;
    await writeFile(replacement, settingsText(ports, 'replaced'));
    await rename(replacement, settingsFile);
    node.signal('SIGHUP');
    await pipe.writeFile(settingsText(ports));
    await pipe.close();
    await node.waitForOutput('"settings-reloaded"');
    await node.waitForOutput('"node-started"');
    assert.ok(node.output.includes('"replaced"'));
  });

  it('guards against further signals that end a node which is stopping', async (t) => {
    const { start } = await prepare(t);
    const node = await start();
    await node.waitForOutput('node-started');
    for (const signal of ['SIGTERM', 'SIGHUP', 'SIGINT', 'SIGTERM'] as const) {
      node.signal(signal);
      await sleep(50);
    }
    assert.equal(await node.waitForEnd(), 0);
  });

  it('guards against an end at the start while an address is in use for a moment', async (t) => {
    const { ports, start } = await prepare(t);
    for (const name of ['reports', 'peers', 'callers', 'readiness', 'metrics'] as const) {
      const holder = await holdPort(t, ports[name]);
      const node = await start();
      await node.waitForOutput('"listener-retried"');
      await sleep(200);
      holder.close();
      await node.waitForOutput('"node-started"');
      assert.equal(node.output.split('"listener-retried"').length, 2, name);
      node.signal('SIGKILL');
      await node.waitForEnd();
    }
  });

  it('guards against tries without an end, and an end without the reason', async (t) => {
    const { ports, start } = await prepare(t, '300ms');
    await holdPort(t, ports.callers);
    const node = await start();
    assert.equal(await node.waitForEnd(), 1);
    assert.match(
      node.output,
      new RegExp(`"start-failed".*${host}:${ports.callers}.*EADDRINUSE.*tried .* in .* s; end the`),
    );
  });

  it('guards against a stop during the tries that counts as a failure', async (t) => {
    const { ports, start } = await prepare(t);
    await holdPort(t, ports.callers);
    const node = await start();
    await node.waitForOutput('"listener-retried"');
    node.signal('SIGTERM');
    assert.equal(await node.waitForEnd(), 0);
    assert.ok(!node.output.includes('start-failed'));
  });

  it('guards against an end while the settings file is being replaced', async (t) => {
    const { ports, settingsFile, start } = await prepare(t);
    const text = settingsText(ports);
    const unusable: (() => Promise<void>)[] = [
      () => rm(settingsFile),
      () => writeFile(settingsFile, ''),
      () => writeFile(settingsFile, text.slice(0, text.length / 2)),
    ];
    for (const spoil of unusable) {
      await spoil();
      const node = await start();
      await node.waitForOutput('reading it again');
      await writeFile(settingsFile, text);
      await node.waitForOutput('"node-started"');
      node.signal('SIGKILL');
      await node.waitForEnd();
    }
  });

  it('guards against a running node that an unusable settings file ends', async (t) => {
    const { ports, settingsFile, start } = await prepare(t);
    const node = await start();
    await node.waitForOutput('"node-started"');
    for (const text of ['', settingsText(ports).slice(0, 200)]) {
      await writeFile(settingsFile, text);
      node.signal('SIGHUP');
    }
    await node.waitForOutput('"settings-invalid"');
    await rm(settingsFile);
    node.signal('SIGHUP');
    await node.waitForOutput('ENOENT');
    await writeFile(settingsFile, settingsText(ports, 'replaced'));
    node.signal('SIGHUP');
    await node.waitForOutput('"settings-reloaded"');
    node.signal('SIGTERM');
    assert.equal(await node.waitForEnd(), 0);
  });

  it('guards against a reader of the log that takes the process with it when it ends', async (t) => {
    const { ports, start } = await prepare(t);
    const node = await start();
    await node.waitForOutput('"node-started"');
    node.closeOutput();
    // A report that cannot be decoded writes a line.
    const url = `http://${host}:${ports.reports}/v1/instances/i-1/heartbeat`;
    for (let line = 0; line < 20; line += 1) {
      assert.equal((await fetch(url, { method: 'POST', body: '{' })).status, 400);
      await sleep(10);
    }
    node.signal('SIGTERM');
    assert.equal(await node.waitForEnd(), 0);
  });

  it('guards against a start that waits for usable settings without an end', async (t) => {
    const { settingsFile, start } = await prepare(t);
    await rm(settingsFile);
    const node = await start();
    assert.equal(await node.waitForEnd(), 2);
    assert.match(node.output, /cannot use settings file .*: ENOENT/);
  });
});
