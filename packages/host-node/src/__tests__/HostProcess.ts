import assert from 'node:assert/strict';
import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import type { TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';

import { freePorts, host } from './fleet.js';

const root = path.resolve(import.meta.dirname, '../../../..');
const endTimeoutMilliseconds = 15_000;

/** The options of the runtime in `deploy/system.toml`. */
const runtimeOptions = ['--max-old-space-size=128', '--single-threaded'];

export interface HostPorts {
  readonly callers: number;
  readonly reports: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
  readonly store: number;
}

/** Creates a directory that is removed after the test. */
export async function createDirectory(t: TestContext): Promise<string> {
  const directory = await mkdtemp(path.join(tmpdir(), 'host-process-'));
  t.after(() => rm(directory, { recursive: true }));
  return directory;
}

/** Bundles the node as the deployment does, and gives the path of the program. */
export async function bundleNode(directory: string): Promise<string> {
  const program = path.join(directory, 'hickorybridge.cjs');
  const script = path.join(root, 'scripts/bundleHostNode.mjs');
  await promisify(execFile)(process.execPath, [script, program]);
  return program;
}

/** Finds ports of which the peers' and the metrics' follow each other, as the settings need. */
export async function findHostPorts(): Promise<HostPorts> {
  const [callers = 0, reports = 0, readiness = 0, store = 0, peers = 0] = await freePorts(5);
  const metrics = peers + 1;
  if (!(await isFree(metrics))) return findHostPorts();
  return { callers, reports, readiness, peers, metrics, store };
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export function settingsText(ports: HostPorts, service = 'desk', retry = '10s'): string {
  return `
node_name = "n1"
ip = "${host}"
zone = "d"
region = "r"
service = "${service}"
app_addr = "${host}:1"
port_range = [${ports.peers}, ${ports.peers + 8}]
bounds = ["drain=2500ms", "grace=2s", "config=2500ms", "budget_ratio=0.2", "budget_window=10s", "budget_slack=62"]
listen_retry = "${retry}"
[listen_addrs]
outbound = "${host}:${ports.callers}"
ready = "${host}:${ports.readiness}"
control = "${host}:${ports.reports}"
[platform]
address = "${host}:${ports.store}"
`;
}

export interface HostProcessOptions {
  readonly program: string;
  readonly settingsFile: string;
  /** Text of a script that runs before the program. */
  readonly preload?: string;
  /** Limit of the JavaScript heap in MB; that of the deployment by default. */
  readonly maxHeapMegabytes?: number;
}

/** A node as a process of its own. */
export class HostProcess {
  readonly child: ChildProcess;

  /** What the process has written to standard output and standard error. */
  output = '';

  readonly #ended: Promise<unknown[]>;

  private constructor(child: ChildProcess) {
    this.child = child;
    this.#ended = once(child, 'close');
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on('data', (data: Buffer) => {
        this.output += data.toString('utf8');
      });
    }
  }

  static async start(t: TestContext, options: HostProcessOptions): Promise<HostProcess> {
    const preloadFile = `${options.settingsFile}.preload.cjs`;
    if (options.preload !== undefined) await writeFile(preloadFile, options.preload);
    const preload = options.preload === undefined ? [] : ['--require', preloadFile];
    const { maxHeapMegabytes: heap } = options;
    const heapOptions = heap === undefined ? [] : [`--max-old-space-size=${heap}`];
    const nodeOptions = [...runtimeOptions, ...heapOptions, ...preload];
    const child = spawn(process.execPath, [...nodeOptions, options.program], {
      env: { PATH: process.env.PATH, HICKORYBRIDGE_CONFIG: options.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    t.after(() => child.kill('SIGKILL'));
    return new HostProcess(child);
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Closes the pipes that the process writes to. */
  closeOutput(): void {
    this.child.stdout?.destroy();
    this.child.stderr?.destroy();
  }

  /** Waits until the output has a text. */
  async waitForOutput(text: string): Promise<void> {
    const end = Date.now() + endTimeoutMilliseconds;
    while (!this.output.includes(text)) {
      const isRunning = this.child.exitCode === null && this.child.signalCode === null;
      const ending = String(this.child.signalCode ?? this.child.exitCode);
      assert.ok(isRunning, `the process ended (${ending}) without "${text}": ${this.output}`);
      assert.ok(Date.now() < end, `no "${text}" in time: ${this.output}`);
      await sleep(10);
    }
  }

  /** Waits for the end; gives the exit code, or the name of the signal that ended the process. */
  async waitForEnd(): Promise<unknown> {
    const limit = sleep(endTimeoutMilliseconds, ['runs', 'runs'], { ref: false });
    const [code, signal] = await Promise.race([this.#ended, limit]);
    return signal ?? code;
  }
}
