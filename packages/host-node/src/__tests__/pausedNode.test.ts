import { StandInObjectStore } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { Agent, createServer, type Server } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, it, type TestContext } from 'node:test';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';

import { addressOf, createConfiguration, freePorts, host, sendRequest, service } from './fleet.js';

const program = fileURLToPath(new URL('../bin.js', import.meta.url));
const deadlineMilliseconds = 5000;
/** A backend server may be given this much more time than the caller has left. */
const toleranceMilliseconds = 500;
const requestIntervalMilliseconds = 25;

/** A backend server that notes how much more time it is given than the caller has left. */
class DeadlineRecorder {
  readonly excessMilliseconds: number[] = [];

  readonly sentAt = new Map<string, number>();

  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      const requestId = String(request.headers['request-id']);
      const waited = performance.now() - (this.sentAt.get(requestId) ?? Number.NaN);
      const left = deadlineMilliseconds - waited;
      this.excessMilliseconds.push(Number(request.headers['deadline-ms']) - left);
      response.setHeader('request-id', requestId);
      response.setHeader('response-signature', 'signed');
      response.end('ok');
    });
  }

  async start(port: number): Promise<void> {
    this.#server.listen(port, host);
    await once(this.#server, 'listening');
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

/** Finds a port after which the next one, which the node uses for its metrics, is free as well. */
async function findPeersPort(): Promise<number> {
  for (let attempt = 0; attempt < 20; attempt += 1) {
    const [port = 0] = await freePorts(1);
    const probe = createServer().listen(port + 1, host);
    const isFree = await once(probe, 'listening').then(
      () => true,
      () => false,
    );
    probe.close();
    if (isFree) return port;
  }
  return assert.fail('no two free ports in a row');
}

/** Starts a node as a process of its own, beside a backend server in this process. */
async function startNodeProcess(t: TestContext) {
  const directory = await mkdtemp(path.join(tmpdir(), 'paused-node-'));
  t.after(() => rm(directory, { recursive: true }));
  const store = new StandInObjectStore();
  await store.start();
  t.after(() => store[Symbol.asyncDispose]());
  store.put('config', 'main', createConfiguration(1, '6000ms'));
  const recorder = new DeadlineRecorder();
  t.after(() => recorder[Symbol.asyncDispose]());
  const [backend = 0, callers = 0, readiness = 0, reports = 0] = await freePorts(4);
  const peers = await findPeersPort();
  await recorder.start(backend);
  const settings = path.join(directory, 'local.toml');
  await writeFile(
    settings,
    `
node_name = "one"
ip = "${host}"
zone = "d"
region = "r"
service = "${service}"
app_addr = "${host}:${backend}"
port_range = [${peers},${peers + 1}]
bounds = ["drain=2500ms","config=2500ms","grace=1s","budget_ratio=0.2","budget_window=10s","budget_slack=60"]
[listen_addrs]
outbound = "${host}:${callers}"
ready = "${host}:${readiness}"
control = "${host}:${reports}"
[platform]
address = "${host}:${addressOf(store).port}"
`,
  );
  const child = spawn(process.execPath, [program], {
    env: { ...process.env, HICKORYBRIDGE_CONFIG: settings },
    stdio: 'ignore',
  });
  t.after(() => child.kill('SIGKILL'));
  await reportUntilServed({ callers, reports, backend });
  return { child, port: callers, recorder };
}

interface NodePorts {
  readonly callers: number;
  readonly reports: number;
  readonly backend: number;
}

/** Reports the backend server until the node serves requests. */
async function reportUntilServed({ backend, callers, reports }: NodePorts): Promise<void> {
  for (let sequence = 1; sequence < 100; sequence += 1) {
    const body = JSON.stringify({
      address: `${host}:${backend}`,
      born: 1,
      info: { service, version: 'v1', zone: 'd', slots: 100 },
      status: { state: 'ready', sequence, cold_time: '0ms' },
    });
    const reportPath = '/v1/instances/i-1/heartbeat';
    await sendRequest(reports, { method: 'POST', path: reportPath, body }).catch(() => undefined);
    const answer = await sendRequest(callers, { path: '/reads/1' }).catch(() => undefined);
    if (answer?.status === 200) return;
    await sleep(100);
  }
  assert.fail('the node does not serve requests');
}

async function pause(child: ChildProcess, milliseconds: number): Promise<void> {
  child.kill('SIGSTOP');
  await sleep(milliseconds);
  child.kill('SIGCONT');
}

describe('a node process that stands still', () => {
  for (const milliseconds of [800, 2500]) {
    it(`paused for ${milliseconds} ms: guards against deadlines that ignore the time unread`, async (t) => {
      const { child, port, recorder } = await startNodeProcess(t);
      // Without a limit on sockets, the caller sends each request at once.
      const agent = new Agent({ keepAlive: true });
      t.after(() => agent.destroy());
      recorder.excessMilliseconds.length = 0;
      const requests: Promise<unknown>[] = [];
      const end = performance.now() + milliseconds + 1200;
      const paused = sleep(500).then(() => pause(child, milliseconds));
      for (let number = 0; performance.now() < end; number += 1) {
        const id = `r${number}`;
        recorder.sentAt.set(id, performance.now());
        const headers = { 'deadline-ms': String(deadlineMilliseconds) };
        // Half of the requests open a connection, which the node accepts only after its pause.
        const options = { path: '/reads/1', id, headers };
        requests.push(sendRequest(port, number % 2 === 0 ? options : { ...options, agent }));
        await sleep(requestIntervalMilliseconds);
      }
      await paused;
      const answers = (await Promise.allSettled(requests)).length;
      const tooLong = recorder.excessMilliseconds.filter(
        (excess) => excess > toleranceMilliseconds,
      );
      const longest = Math.round(Math.max(...recorder.excessMilliseconds));
      t.diagnostic(
        `${recorder.excessMilliseconds.length} of ${answers} requests arrived, ${tooLong.length} ` +
          `with more than ${toleranceMilliseconds} ms too much, at most ${longest} ms`,
      );
      assert.equal(
        tooLong.length,
        0,
        `${tooLong.length} deadlines too long, by up to ${longest} ms`,
      );
      assert.ok(recorder.excessMilliseconds.length > answers / 2, 'too few requests arrived');
    });
  }
});
