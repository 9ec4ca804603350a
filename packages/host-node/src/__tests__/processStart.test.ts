import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtemp, open, rename, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';

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
});
