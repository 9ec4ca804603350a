import { silentLogger } from '@hickorybridge/logger';
import { StandInObjectStore, StandInPlatformBackend } from '@hickorybridge/stand-ins';
import type { HostBounds, HostSettings, SocketAddress } from '@hickorybridge/types';
import { RandomSource, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { randomInt } from 'node:crypto';
import { request, type Agent, type IncomingMessage } from 'node:http';
import { createServer } from 'node:net';
import { buffer } from 'node:stream/consumers';
import type { TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import type { SettingsSource } from '../control/SettingsFile.js';
import { createHostNode } from '../createHostNode.js';
import type { HostNode } from '../HostNode.js';

export const host = '127.0.0.1';
export const service = 'desk';

export interface HttpResponse {
  readonly status: number;
  readonly text: string;
  readonly headers: IncomingMessage['headers'];
  readonly complete: boolean;
}

export interface FleetMember {
  readonly node: HostNode;
  readonly backend: StandInPlatformBackend;
  readonly settings: HostSettings;
}

export function createConfiguration(version: number, timeout = '1000ms') {
  const columns = [
    'name',
    'host',
    'path_prefix',
    'kind',
    'timeout',
    'target_latency',
    'priority',
    'service',
    'max_attempts',
  ];
  return {
    version,
    routes: {
      columns,
      rows: [
        ['reads', 'a.example', '/reads/', 'safe', timeout, '500ms', 1, service, 2],
        ['orders', 'a.example', '/orders/', 'unsafe', timeout, '500ms', 1, service, 2],
      ],
    },
    services: { columns: ['name', 'max_conns'], rows: [[service, 50]] },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 500_000,
      header_timeout: '3s',
      idle_timeout: '15s',
    },
  };
}

// Below the ports that the system gives to outgoing connections, which could take one meanwhile.
const firstPort = 6000;
const lastPort = 11_999;

/** Finds ports that no process listens on. */
export async function freePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = randomInt(firstPort, lastPort + 1);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export async function startMember(
  t: TestContext,
  store: SocketAddress,
  name: string,
  bounds: Partial<HostBounds> = {},
): Promise<FleetMember> {
  const backend = new StandInPlatformBackend(`i-${name}`);
  await backend.start();
  const [callers = 0, reports = 0, readiness = 0, peers = 0, metrics = 0] = await freePorts(5);
  const addressAt = (port: number) => ({ host, port });
  const settings: HostSettings = {
    nodeId: name,
    address: host,
    location: { region: 'r', failureDomain: `d-${name}` },
    service,
    backendServerAddress: addressAt(backend.port),
    listeners: {
      callers: addressAt(callers),
      reports: addressAt(reports),
      readiness: addressAt(readiness),
      peers: addressAt(peers),
      metrics: addressAt(metrics),
    },
    listenRetryMilliseconds: 0,
    store,
    bounds: {
      drainMilliseconds: 500,
      configurationMilliseconds: 2000,
      graceMilliseconds: 4000,
      retryShare: 0.2,
      retrySlack: 60,
      retryWindowMilliseconds: 10_000,
      ...bounds,
    },
  };
  const node = await startNode(t, settings);
  t.after(() => backend[Symbol.asyncDispose]());
  return { node, backend, settings };
}

/** Starts a node, for the first time or again after it was stopped. */
export async function startNode(t: TestContext, settings: HostSettings): Promise<HostNode> {
  const source: SettingsSource = { current: settings, [Symbol.asyncDispose]: async () => {} };
  const node = createHostNode({
    settings: source,
    clock: systemClock,
    random: new RandomSource(2026),
    logger: silentLogger,
  });
  const started = await node.start();
  assert.ok(started.ok, started.ok ? '' : started.error.detail);
  t.after(() => node.stop());
  return node;
}

/** Starts nodes with a common store; `storeOf` may replace its address, e.g. by that of a relay. */
export async function startFleet(
  t: TestContext,
  names: readonly string[],
  storeOf: (name: string, store: SocketAddress) => SocketAddress | Promise<SocketAddress> = (
    _name,
    address,
  ) => address,
  bounds: Partial<HostBounds> = {},
) {
  const store = new StandInObjectStore();
  await store.start();
  store.put('config', 'main', createConfiguration(1));
  const members: FleetMember[] = [];
  for (const name of names) {
    members.push(await startMember(t, await storeOf(name, addressOf(store)), name, bounds));
  }
  t.after(() => store[Symbol.asyncDispose]());
  for (const member of members) await sendReport(member);
  await waitUntil(() => members.every(({ node }) => node.ready && node.hostCount === names.length));
  // Connections between the nodes are opened in the background.
  await sleep(500);
  return { store, members };
}

export function addressOf({ port }: StandInObjectStore): SocketAddress {
  return { host, port };
}

export async function waitUntil(condition: () => boolean): Promise<void> {
  const end = Date.now() + 5000;
  while (!condition()) {
    assert.ok(Date.now() < end, 'the condition was not met within 5 s');
    await sleep(10);
  }
}

let sequence = 0;

/** Skips sequence numbers of reports; a negative count makes the next reports outdated. */
export function skipSequence(count: number): void {
  sequence += count;
}

export async function sendReport(
  { backend, settings }: FleetMember,
  changes: object = {},
  born = 1,
): Promise<HttpResponse> {
  sequence += 1;
  const body = JSON.stringify({
    address: `${host}:${backend.port}`,
    born,
    info: { service, version: 'v1', zone: 'd', slots: 4 },
    status: { state: 'ready', sequence, cold_time: '0ms', ...changes },
  });
  const { port } = settings.listeners.reports;
  return sendRequest(port, { method: 'POST', path: `/v1/instances/${backend.id}/heartbeat`, body });
}

/** Sends the notice of a backend server that leaves. */
export function sendLeave({ backend, settings }: FleetMember, born = 1): Promise<HttpResponse> {
  const { port } = settings.listeners.reports;
  const path = `/v1/instances/${backend.id}/deregister`;
  return sendRequest(port, { method: 'POST', path, body: JSON.stringify({ born }) });
}

export interface SendRequestOptions {
  readonly method?: string;
  readonly path: string;
  readonly id?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly agent?: Agent;
  /** Ends the request with an error, e.g. when no answer comes. */
  readonly signal?: AbortSignal;
}

export function sendRequest(port: number, options: SendRequestOptions): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const clientRequest = request({
      host,
      port,
      method: options.method ?? 'GET',
      path: options.path,
      ...(options.agent === undefined ? {} : { agent: options.agent }),
      ...(options.signal === undefined ? {} : { signal: options.signal }),
      headers: {
        host: 'a.example',
        'request-id': options.id ?? 'r1',
        'deadline-ms': '2000',
        ...options.headers,
      },
    });
    clientRequest.once('error', reject);
    clientRequest.once('response', async (response) => {
      const { socket } = response;
      const text = await buffer(response).catch(() => Buffer.alloc(0));
      resolve({
        status: response.statusCode ?? 0,
        text: text.toString('utf8'),
        headers: response.headers,
        // Node.js marks a response without a length as complete even when its connection was reset.
        complete: response.complete && socket.errored === null,
      });
    });
    clientRequest.end(options.body);
  });
}
