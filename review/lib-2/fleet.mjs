// Starts nodes of the program as separate processes with the command of deploy/system.toml, and
// stops every process that it started.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

export const repository = fileURLToPath(new URL('../../', import.meta.url));
export const hasTrouble = process.env.TROUBLE !== '0';

export const sleep = (milliseconds) =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

export async function until(condition, milliseconds, pause = 20) {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    if (await condition()) return true;
    await sleep(pause);
  }
  return false;
}

/** Writes what happens to `record.txt` in the folder of the case. */
export function createRecord(folder) {
  const file = path.join(folder, 'record.txt');
  const startedAt = Date.now();
  writeFileSync(file, `trouble: ${hasTrouble}\n`);
  return (event, fields = {}) => {
    const seconds = ((Date.now() - startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(file, `${seconds} ${event} ${JSON.stringify(fields)}\n`);
  };
}

// Below the ports that the system gives to outgoing connections.
const firstPort = 14_000;
const portCount = 17_000;
const givenPorts = new Set();

async function isFree(port) {
  const server = createServer();
  server.listen(port, '127.0.0.1');
  const isListening = await Promise.race([
    once(server, 'listening').then(() => true),
    once(server, 'error').then(() => false),
  ]);
  server.close();
  return isListening;
}

/** Free ports on loopback that follow each other. */
export async function freePorts(count) {
  for (;;) {
    const first = firstPort + Math.floor(Math.random() * portCount);
    const ports = Array.from({ length: count }, (_, index) => first + index);
    let isUsable = ports.every((port) => !givenPorts.has(port));
    for (const port of ports) isUsable = isUsable && (await isFree(port));
    if (!isUsable) continue;
    for (const port of ports) givenPorts.add(port);
    return ports;
  }
}

/** The command of the deploy file, without the program's name. */
function commandOfDeployFile() {
  const text = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
  const [, line] = /^run = "node (.*)"$/m.exec(text) ?? [];
  if (line === undefined)
    throw new Error('deploy/system.toml has no command that starts with node');
  return line.split(' ');
}

export class Node {
  constructor({ name, zone, region, service, bounds, storePort, ports, folder, record }) {
    Object.assign(this, { name, zone, region, service, ports, record });
    this.file = path.join(folder, `${name}.toml`);
    this.log = path.join(folder, `${name}.log`);
    const at = (port) => JSON.stringify(`127.0.0.1:${port}`);
    writeFileSync(
      this.file,
      `node_name = "${name}"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "127.0.0.1"
zone = "${zone}"
region = "${region}"
port_range = [${ports.peers}, ${ports.metrics}]
seeds = []
bootstrap = true
heartbeat = "1500ms"
bounds = ${JSON.stringify(bounds)}
app_addr = ${at(ports.backend)}
service = "${service}"
[listen_addrs]
inbound = ${at(ports.inbound)}
outbound = ${at(ports.outbound)}
ready = ${at(ports.ready)}
control = ${at(ports.control)}
[limits]
cpu_share = 0.54
cores = 1
memory_mb = 350
max_fds = 4100
[platform]
address = ${at(storePort)}
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history = "20s"
value_bytes = 1048576
`,
    );
  }

  start() {
    const log = openSync(this.log, 'a');
    this.process = spawn('node', commandOfDeployFile(), {
      cwd: repository,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, HICKORYBRIDGE_CONFIG: this.file },
      stdio: ['ignore', log, log],
    });
    this.ended = once(this.process, 'exit').then(([code, signal]) => {
      this.record('process-end', { node: this.name, code, signal });
    });
    this.record('process-start', { node: this.name, pid: this.process.pid });
  }

  signal(name) {
    this.record('signal', { node: this.name, signal: name });
    this.process.kill(name);
  }

  async kill() {
    if (this.process === undefined || this.process.exitCode !== null) return;
    if (this.process.signalCode !== null) return;
    this.process.kill('SIGKILL');
    await this.ended;
  }

  /** What the platform's readiness probe sees. */
  isReady() {
    return new Promise((resolve) => {
      const probe = get(
        { host: '127.0.0.1', port: this.ports.ready, path: '/v1/readyz', agent: false },
        (answer) => {
          answer.resume();
          resolve(answer.statusCode === 200);
        },
      );
      probe.setTimeout(1000, () => probe.destroy());
      probe.once('error', () => resolve(false));
    });
  }
}

/** Ports of one host. `peers` and `metrics` are the first two of its `port_range`. */
export async function hostPorts() {
  const [outbound, control, ready, inbound, backend, peers, metrics] = await freePorts(7);
  return { outbound, control, ready, inbound, backend, peers, metrics };
}

export function temporaryFolder() {
  const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  return { folder, remove: () => rmSync(folder, { recursive: true, force: true }) };
}

/** Runs a case; the exit code says whether the rule was broken. */
export async function runCase(run) {
  const { folder, remove } = temporaryFolder();
  const cleanups = [];
  let code = 2;
  const timer = setTimeout(() => {
    console.log('the case took too long');
    finish();
  }, 112_000);
  const finish = async () => {
    clearTimeout(timer);
    for (const cleanup of cleanups.reverse()) await cleanup();
    if (process.env.KEEP === undefined) remove();
    else console.log(folder);
    process.exit(code);
  };
  try {
    code = (await run({ folder, onEnd: (cleanup) => cleanups.push(cleanup) })) ? 1 : 0;
  } catch (error) {
    console.log(error);
  }
  await finish();
}
