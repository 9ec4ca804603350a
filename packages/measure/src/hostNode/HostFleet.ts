import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { Agent, request } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { spawn, type ChildProcess } from 'node:child_process';
import { repositoryPath } from '@hickorybridge/replay';
import { StandInObjectStore, StandInPlatformBackend } from '@hickorybridge/stand-ins';

import { routeConfigurationOf, settingsTextOf, type HostPorts } from './hostFiles.js';

/** A fleet of hosts on this machine. */
export interface HostFleetOptions {
  readonly hosts: number;
  readonly services: number;
  readonly workMilliseconds: number;
  /** Further options of the runtime, for each process. */
  readonly runtimeOptions?: readonly string[];
}

interface FleetHost {
  readonly name: string;
  readonly service: string;
  readonly ports: HostPorts;
  readonly backend: StandInPlatformBackend;
  readonly process: ChildProcess;
}

const address = '127.0.0.1';
// Below the ports that the system gives to outgoing connections.
const firstPort = 12_000;
const portsPerHost = 8;
const reportMilliseconds = 1500;
const callDeadlineMilliseconds = '2000';

/** Real nodes as processes, with stand-ins for the store and the backend servers in this process. */
export class HostFleet implements AsyncDisposable {
  readonly #options: HostFleetOptions;

  readonly #store = new StandInObjectStore();

  readonly #hosts: FleetHost[] = [];

  readonly #agent = new Agent({ keepAlive: true });

  #directory = '';

  #reporter: NodeJS.Timeout | undefined;

  #sequence = 0;

  private constructor(options: HostFleetOptions) {
    this.#options = options;
  }

  static async start(options: HostFleetOptions): Promise<HostFleet> {
    const fleet = new HostFleet(options);
    await fleet.#start();
    return fleet;
  }

  get processIds(): number[] {
    return this.#hosts.map(({ process: { pid = 0 } }) => pid);
  }

  /** Sends one request from a host to a service, and gives the status of the answer. */
  async call(from: number, service: number, requestId: string): Promise<number> {
    const host = this.#hosts[from % this.#hosts.length] as FleetHost;
    const outgoing = request({
      agent: this.#agent,
      host: address,
      port: host.ports.callers,
      path: '/reads/1',
      headers: {
        host: `${this.#serviceName(service)}.example`,
        'request-id': requestId,
        'deadline-ms': callDeadlineMilliseconds,
      },
    });
    outgoing.end();
    const [answer] = (await once(outgoing, 'response')) as [{ statusCode: number; resume(): void }];
    answer.resume();
    return answer.statusCode;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#reporter);
    this.#agent.destroy();
    for (const { process: child } of this.#hosts) child.kill('SIGKILL');
    for (const { backend } of this.#hosts) await backend[Symbol.asyncDispose]();
    await this.#store[Symbol.asyncDispose]();
    await rm(this.#directory, { recursive: true });
  }

  async #start(): Promise<void> {
    const { hosts, services } = this.#options;
    this.#directory = await mkdtemp(path.join(tmpdir(), 'host-fleet-'));
    await this.#store.start();
    const names = Array.from({ length: services }, (_, index) => this.#serviceName(index));
    this.#store.put('config', 'main', routeConfigurationOf(names));
    for (let index = 0; index < hosts; index += 1) await this.#startHost(index);
    this.#report();
    this.#reporter = setInterval(() => this.#report(), reportMilliseconds);
  }

  async #startHost(index: number): Promise<void> {
    const name = `host-${index}`;
    const service = this.#serviceName(index % this.#options.services);
    const backend = new StandInPlatformBackend(`i-${name}`);
    backend.workMilliseconds = this.#options.workMilliseconds;
    await backend.start();
    const first = firstPort + index * portsPerHost;
    const ports = { callers: first, reports: first + 1, readiness: first + 2, peers: first + 3 };
    const settings = path.join(this.#directory, `${name}.toml`);
    const text = settingsTextOf({
      name,
      service,
      ports,
      address,
      failureDomain: `d${index % 4}`,
      backendServerPort: backend.port,
      storePort: this.#store.port,
    });
    await writeFile(settings, text);
    const program = repositoryPath('target/hickorybridge.cjs');
    const child = spawn(process.execPath, [...(this.#options.runtimeOptions ?? []), program], {
      env: { ...process.env, HICKORYBRIDGE_CONFIG: settings },
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    this.#hosts.push({ name, service, ports, backend, process: child });
  }

  #serviceName(index: number): string {
    return `service-${index % this.#options.services}`;
  }

  #report(): void {
    this.#sequence += 1;
    for (const { backend, ports, service } of this.#hosts) {
      const body = JSON.stringify({
        address: `${address}:${backend.port}`,
        born: 1,
        info: { service, version: 'v1', zone: 'd', slots: 6 },
        status: { state: 'ready', sequence: this.#sequence, cold_time: '0ms' },
      });
      const outgoing = request({
        agent: this.#agent,
        host: address,
        port: ports.reports,
        method: 'POST',
        path: `/v1/instances/${backend.id}/heartbeat`,
      });
      // A node that has not started yet gets the next report.
      outgoing.once('error', () => {});
      outgoing.once('response', (answer) => answer.resume());
      outgoing.end(body);
    }
  }
}
