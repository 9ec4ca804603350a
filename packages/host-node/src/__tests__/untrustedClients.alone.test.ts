import { encodeFrame, FrameType } from '@hickorybridge/peer-protocol';
import { StandInObjectStore, StandInPlatformBackend } from '@hickorybridge/stand-ins';
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, before, describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { ClientCrowd, type CrowdOptions } from './ClientCrowd.js';
import { createConfiguration, host, sendRequest, service } from './fleet.js';
import {
  bundleNode,
  createDirectory,
  findHostPorts,
  HostProcess,
  settingsText,
  type HostPorts,
} from './HostProcess.js';

const maxHeapMegabytes = 64;
const memoryMegabytes = 200;
const maxDescriptors = 256;
const maxHeaderBytes = 16_384;
const maxBodyBytes = 2_000_000;
/** How long the crowd sends before the process is examined. */
const crowdMilliseconds = 3000;
/** Time in which one ordinary request must get an answer, in several attempts. */
const ordinaryMilliseconds = 15_000;
const sampleMilliseconds = 50;
/** Below the limit of the parser of Node.js, and above the configured one. */
const oversizedHeadBytes = 250_000;

interface Fixture {
  readonly node: HostProcess;
  readonly ports: HostPorts;
  readonly backend: StandInPlatformBackend;
}

// A request without an id is refused at its head, and its body would not be read.
const post =
  'POST /uploads/x HTTP/1.1\r\nhost: a.example\r\nrequest-id: x\r\ntransfer-encoding: chunked\r\n\r\n';

/** A chunk of a body in the chunked transfer coding. */
function createChunk(bytes: number): Buffer {
  const head = Buffer.from(`${bytes.toString(16)}\r\n`);
  return Buffer.concat([head, Buffer.alloc(bytes, 'a'), Buffer.from('\r\n')]);
}

function repeatBytes(bytes: Buffer, count: number): Buffer {
  return Buffer.concat(Array.from({ length: count }, () => bytes));
}

/** Peak of the resident memory of a process, in MB. */
function peakMegabytes(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1] ?? Number.NaN) / 1024;
}

/** Whether the test runner leaves out a test that `KNOWN-RED.txt` lists. */
function isKnownRed(name: string): boolean {
  return (JSON.parse(process.env.KNOWN_RED_TESTS ?? '[]') as readonly string[]).includes(name);
}

function isAlive({ child }: HostProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

describe('untrusted clients', () => {
  let programDirectory: string;
  let program: string;

  before(async () => {
    programDirectory = await mkdtemp(path.join(tmpdir(), 'host-program-'));
    program = await bundleNode(programDirectory);
  });

  after(() => rm(programDirectory, { recursive: true }));

  async function start(t: TestContext): Promise<Fixture> {
    const ports = await findHostPorts();
    const store = new StandInObjectStore();
    await store.start();
    t.after(() => store[Symbol.asyncDispose]());
    const backend = new StandInPlatformBackend('i-1');
    await backend.start();
    t.after(() => backend[Symbol.asyncDispose]());
    const { limits, routes, ...rest } = createConfiguration(1);
    const upload = ['uploads', 'a.example', '/uploads/', 'upload', '30s', '500ms', 1, service, 1];
    store.put('config', 'main', {
      ...rest,
      routes: { ...routes, rows: [...routes.rows, upload] },
      limits: { ...limits, max_header_bytes: maxHeaderBytes, max_body_bytes: maxBodyBytes },
    });
    const text = settingsText({ ...ports, store: store.port }, service)
      .replace('app_addr = "127.0.0.1:1"', `app_addr = "127.0.0.1:${backend.port}"`)
      .concat(`[limits]\nmemory_mb = ${memoryMegabytes}\nmax_fds = ${maxDescriptors}\n`);
    const settingsFile = path.join(await createDirectory(t), 'local.toml');
    await writeFile(settingsFile, text);
    const node = await HostProcess.start(t, { program, settingsFile, maxHeapMegabytes });
    await node.waitForOutput('"node-started"');
    const fixture = { node, ports, backend };
    assert.equal(await serveOrdinary(fixture), 200, 'before the crowd');
    return fixture;
  }

  let sequence = 0;

  /** Sends a report and an ordinary request until one is answered, or the time is over. */
  async function serveOrdinary({ backend, node, ports }: Fixture): Promise<number | undefined> {
    const end = Date.now() + ordinaryMilliseconds;
    let status: number | undefined;
    while (status !== 200 && Date.now() < end && isAlive(node)) {
      sequence += 1;
      const body = JSON.stringify({
        address: `${host}:${backend.port}`,
        born: 1,
        info: { service, version: 'v1', zone: 'd', slots: 4 },
        status: { state: 'ready', sequence, cold_time: '0ms' },
      });
      const signal = AbortSignal.timeout(3000);
      const report = { method: 'POST', path: '/v1/instances/i-1/heartbeat', body, signal };
      await sendRequest(ports.reports, report).catch(() => undefined);
      const answer = await sendRequest(ports.callers, { path: '/reads/1', signal }).catch(
        () => undefined,
      );
      status = answer?.status;
      if (status !== 200) await sleep(100);
    }
    return status;
  }

  /** Sends what a crowd sends, and checks the process meanwhile and afterwards. */
  async function withstand(
    t: TestContext,
    fixture: Fixture,
    options: CrowdOptions,
  ): Promise<ClientCrowd> {
    const processId = fixture.node.child.pid;
    assert.ok(processId !== undefined);
    let descriptors = 0;
    let megabytes = 0;
    const sample = () => {
      try {
        descriptors = Math.max(descriptors, readdirSync(`/proc/${processId}/fd`).length);
        megabytes = Math.max(megabytes, peakMegabytes(processId) || 0);
      } catch {
        // The process has ended, which is asserted below.
      }
    };
    const sampler = setInterval(sample, sampleMilliseconds);
    t.after(() => clearInterval(sampler));
    const crowd = await ClientCrowd.start(t, options);
    await sleep(crowdMilliseconds);
    const status = await serveOrdinary(fixture);
    sample();
    const alive = isAlive(fixture.node);
    const seen = `${Math.round(megabytes)} MB, ${descriptors} descriptors, status ${status}`;
    t.diagnostic(`alive ${alive}, ${seen}, open ${crowd.open}, complete ${crowd.complete}`);
    assert.ok(alive, `the process ended: ${fixture.node.output.slice(-2000)}`);
    assert.ok(megabytes < memoryMegabytes, `${Math.round(megabytes)} MB of resident memory`);
    assert.ok(descriptors < maxDescriptors, `${descriptors} descriptors`);
    assert.equal(status, 200, 'an ordinary request is not answered');
    return crowd;
  }

  it('guards against heads over the limit that take memory', async (t) => {
    const fixture = await start(t);
    const head = `GET /reads/x HTTP/1.1\r\nhost: a.example\r\nx: ${'y'.repeat(oversizedHeadBytes)}`;
    await withstand(t, fixture, {
      port: fixture.ports.callers,
      connections: 400,
      data: Buffer.from(`${head}\r\n\r\n`),
    });
  });

  it('guards against heads without end that take memory', async (t) => {
    const fixture = await start(t);
    const head = `GET /reads/x HTTP/1.1\r\nhost: a.example\r\nx: ${'y'.repeat(oversizedHeadBytes)}`;
    await withstand(t, fixture, {
      port: fixture.ports.callers,
      connections: 400,
      data: Buffer.from(head),
    });
  });

  it('guards against empty lines without end before a request, which occupy the process', async (t) => {
    const fixture = await start(t);
    const crowd = await withstand(t, fixture, {
      port: fixture.ports.callers,
      connections: 60,
      data: Buffer.from('\r\n'.repeat(32 * 1024)),
      repeat: 64,
    });
    // 4 MB of empty lines begin no request. The system buffers up to about as much, so that a client
    // may have sent all of it on a connection that the node has refused.
    assert.equal(crowd.unanswered, 0, 'connections that sent all of their empty lines');
  });

  it('guards against pipelined requests without the usual headers whose answers nobody reads', async (t) => {
    const fixture = await start(t);
    await withstand(t, fixture, {
      port: fixture.ports.callers,
      connections: 60,
      data: repeatBytes(Buffer.from('GET /reads/x HTTP/1.1\r\nhost: a.example\r\n\r\n'), 20_000),
    });
  });

  const withIds = 'guards against pipelined requests with an id whose answers nobody reads';
  it(withIds, { skip: isKnownRed(withIds) }, async (t) => {
    const fixture = await start(t);
    const get = 'GET /reads/x HTTP/1.1\r\nhost: a.example\r\nrequest-id: x\r\n\r\n';
    await withstand(t, fixture, {
      port: fixture.ports.callers,
      connections: 60,
      data: repeatBytes(Buffer.from(get), 20_000),
    });
  });

  it('guards against bodies in chunks of one byte, each of which takes an object', async (t) => {
    const fixture = await start(t);
    await withstand(t, fixture, {
      port: fixture.ports.callers,
      connections: 60,
      first: Buffer.from(post),
      data: repeatBytes(createChunk(1), 100_000),
    });
  });

  it('guards against small bodies in chunks of one byte that stop before the end', async (t) => {
    const fixture = await start(t);
    await withstand(t, fixture, {
      port: fixture.ports.callers,
      connections: 100,
      first: Buffer.from(post),
      data: repeatBytes(createChunk(1), 30_000),
    });
  });

  it('guards against bodies in chunks of 64 KB that stop before the end and hold all slots', async (t) => {
    const fixture = await start(t);
    await withstand(t, fixture, {
      port: fixture.ports.callers,
      connections: 60,
      first: Buffer.from(post),
      data: repeatBytes(createChunk(64 * 1024), 16),
    });
  });

  it('guards against connections of callers that take all descriptors', async (t) => {
    const fixture = await start(t);
    await withstand(t, fixture, {
      port: fixture.ports.callers,
      connections: 400,
      data: Buffer.from('GET '),
    });
  });

  it('guards against peers that take all descriptors and memory with unfinished frames', async (t) => {
    const fixture = await start(t);
    const hello = encodeFrame({
      type: FrameType.hello,
      version: 5,
      oldestVersion: 1,
      identity: { nodeId: 'n9', incarnation: 1 },
      location: { region: 'r', failureDomain: 'd' },
      deploymentNumber: 0,
      nonce: Buffer.alloc(16),
      clock: 1,
      proof: Buffer.alloc(0),
    });
    const proof = encodeFrame({ type: FrameType.proof, proof: Buffer.alloc(0), clock: 1 });
    const unfinished = Buffer.alloc(256 * 1024 - 16);
    unfinished.writeUInt32BE(256 * 1024 - 8, 0);
    await withstand(t, fixture, {
      port: fixture.ports.peers,
      connections: 400,
      first: Buffer.concat([hello, proof]),
      data: unfinished,
    });
  });

  it('guards against connections with peers that begin no handshake and take descriptors', async (t) => {
    const fixture = await start(t);
    await withstand(t, fixture, {
      port: fixture.ports.peers,
      connections: 400,
      data: Buffer.from([0, 0]),
    });
  });

  it('guards against reports in chunks of one byte, each of which takes an object', async (t) => {
    const fixture = await start(t);
    await withstand(t, fixture, {
      port: fixture.ports.reports,
      connections: 100,
      first: Buffer.from(
        'POST /v1/instances/i-9/heartbeat HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n',
      ),
      data: repeatBytes(createChunk(1), 60_000),
    });
  });

  it('guards against heads of reports without end, and their connections', async (t) => {
    const fixture = await start(t);
    await withstand(t, fixture, {
      port: fixture.ports.reports,
      connections: 400,
      data: Buffer.from(`POST /v1/instances/i-9/heartbeat HTTP/1.1\r\nx: ${'y'.repeat(15_000)}`),
    });
  });
});
