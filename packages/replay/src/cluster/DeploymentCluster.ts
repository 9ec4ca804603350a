import { rmSync } from 'node:fs';
import { mkdtemp, readFile, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { formatProblem, parseDeployment } from '@hickorybridge/configuration';
import type { Deployment } from '@hickorybridge/configuration';
import { LinkRelay } from '@hickorybridge/stand-ins';
import type { BackendServerControl, StoreCalls, StoreFaults } from '@hickorybridge/stand-ins';
import type { SocketAddress } from '@hickorybridge/types';
import { binaries } from './binaries.js';
import { profileOf } from './clusterProfile.js';
import type { ClusterProfile } from './clusterProfile.js';
import { Host } from './Host.js';
import { planHosts } from './hostPlan.js';
import type { HostPlan } from './hostPlan.js';
import { getJson, putJson, statusOf } from './httpJson.js';
import type { ManagedProcess } from './ManagedProcess.js';
import { formatAddress, nodeSettingsText } from './nodeSettingsText.js';
import { PortAllocator } from './PortAllocator.js';
import { ProcessGroup } from './ProcessGroup.js';
import { runCommandLine } from './runCommandLine.js';
import type { CommandResult } from './runCommandLine.js';
import { waitUntil } from './waitUntil.js';

/** What to start. */
export interface ClusterOptions {
  /** Deployment file (TOML), as an operator would apply it. */
  readonly deploymentFile: string;
  /** Sizes; by default those of the deployment's name. */
  readonly profile?: Partial<ClusterProfile>;
  readonly control?: Partial<BackendServerControl>;
  /** Services that get backend servers; all by default. */
  readonly services?: readonly string[];
  readonly seed: number;
  readonly logLevel?: string;
  /**
   * Whether peer connections go through the relay of the link, which is in this process; `true`
   * by default. Without it nodes are measured alone, but nothing can be cut or delayed.
   */
  readonly relayPeers?: boolean;
  /** Called with each step of the start, for people. */
  readonly onProgress?: (message: string) => void;
}

/** Time limit for the start of all processes, in milliseconds. */
const startLimitMilliseconds = 20_000;

/** Peers that each node is told to ask first. */
const seedCount = 3;

/** A deployment of real processes on loopback: store, backend servers, nodes and the link. */
export class DeploymentCluster implements AsyncDisposable {
  readonly deployment: Deployment;

  readonly profile: ClusterProfile;

  readonly hosts: Host[] = [];

  /** The link between the first two regions. */
  readonly link: LinkRelay;

  /** Folder with the settings, logs and run logs of the processes. */
  readonly folder: string;

  readonly #options: ClusterOptions;

  readonly #processes = new ProcessGroup();

  readonly #storeAddress: SocketAddress;

  #store: ManagedProcess | undefined;

  readonly #removeFolder = () => {
    if (process.env.HICKORYBRIDGE_KEEP_LOGS !== undefined) return;
    rmSync(this.folder, { recursive: true, force: true });
  };

  private constructor(
    options: ClusterOptions,
    deployment: Deployment,
    place: { folder: string; storeAddress: SocketAddress },
  ) {
    this.#options = options;
    this.deployment = deployment;
    this.profile = { ...profileOf(deployment.name), ...options.profile };
    this.folder = place.folder;
    this.#storeAddress = place.storeAddress;
    process.once('exit', this.#removeFolder);
    const [first = 'first', second = 'second'] = deployment.regions.map((region) => region.name);
    this.link = new LinkRelay({ regions: [first, second], settings: this.profile.link });
  }

  /** Starts all processes and waits until every node is ready. */
  static async start(options: ClusterOptions): Promise<DeploymentCluster> {
    const deployment = await readDeployment(options.deploymentFile);
    const folder = await mkdtemp(path.join(tmpdir(), 'hickorybridge-'));
    const ports = new PortAllocator();
    const storeAddress = { host: '127.0.0.1', port: await ports.take() };
    const cluster = new DeploymentCluster(options, deployment, { folder, storeAddress });
    try {
      await cluster.#start(ports);
    } catch (error) {
      await cluster[Symbol.asyncDispose]();
      throw error;
    }
    return cluster;
  }

  /** Address of the store for operators, without the link. */
  get storeUrl(): string {
    return `http://${formatAddress(this.#storeAddress)}`;
  }

  /** Gives the host of a backend server. */
  host(id: string): Host {
    const host = this.hosts.find((candidate) => candidate.plan.id === id);
    if (host !== undefined) return host;
    const known = this.hosts.map((candidate) => candidate.plan.id).join(', ');
    throw new Error(`finding host ${id} of ${this.deployment.name}: expected one of ${known}`);
  }

  /** Applies a deployment file with the operators' command line. */
  async apply(file: string, ...options: string[]): Promise<CommandResult> {
    return runCommandLine(['apply', file, '--store', this.storeUrl, ...options]);
  }

  /** Sets faults of the store. */
  async storeFaults(faults: Partial<StoreFaults>): Promise<void> {
    await putJson(`${this.storeUrl}/faults`, faults);
  }

  /** Reads the store's call counters. */
  async storeCalls(): Promise<StoreCalls> {
    return getJson(`${this.storeUrl}/calls`);
  }

  /** Names of processes that ended without being asked to. */
  unexpectedEnds(): string[] {
    return this.#processes.processes
      .filter((entry) => entry.lastEnd !== undefined && !entry.lastEnd.asked)
      .map((entry) => `${entry.name} (${JSON.stringify(entry.lastEnd)})`);
  }

  /** Ends all processes. With HICKORYBRIDGE_KEEP_LOGS in the environment the folder stays. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.#processes[Symbol.asyncDispose]();
    await this.link[Symbol.asyncDispose]();
    process.off('exit', this.#removeFolder);
    this.#removeFolder();
  }

  async #start(ports: PortAllocator): Promise<void> {
    const plans = await planHosts(
      {
        deployment: this.deployment,
        backendServersPerService: this.profile.backendServersPerService,
        services: this.#options.services,
      },
      ports,
    );
    this.#progress(`starting the store and ${plans.length} hosts, logs in ${this.folder}`);
    this.#store = this.#startProcess('store', [
      binaries.store,
      '--port',
      String(this.#storeAddress.port),
    ]);
    await waitForStart(
      'the store answers',
      async () => (await statusOf(`${this.storeUrl}/calls`)) === 200,
    );
    await this.#applyFirst();
    await this.#startHosts(plans);
    await this.waitUntilReady();
    this.#progress('all nodes are ready');
  }

  /** Waits until every running node is ready. */
  async waitUntilReady(): Promise<void> {
    for (const host of this.hosts) {
      await waitForStart(`${host.plan.nodeId} is ready`, async () => {
        if (!host.node.running) throw new Error(this.#describeEnd(host.node));
        return (await host.ready()) && host.backendServerReady();
      });
    }
  }

  async #applyFirst(): Promise<void> {
    const result = await this.apply(this.#options.deploymentFile);
    if (result.code === 0) return;
    throw new Error(
      `applying ${this.#options.deploymentFile}: exit code ${result.code}, expected 0: ` +
        `${result.output}${result.errors}`,
    );
  }

  async #startHosts(plans: readonly HostPlan[]): Promise<void> {
    const [nearStore = '', far = ''] = this.deployment.regions.map((region) => region.name);
    const storeRoute = await this.link.addRoute({
      target: this.#storeAddress,
      region: nearStore,
      from: far,
    });
    const advertised = new Map<string, SocketAddress>();
    for (const plan of plans) {
      const route = { target: plan.peers, region: plan.region };
      const address =
        (this.#options.relayPeers ?? true) ? await this.link.addRoute(route) : plan.peers;
      advertised.set(plan.nodeId, address);
    }
    for (const plan of plans) {
      const storeAddress = plan.region === nearStore ? this.#storeAddress : storeRoute;
      const others = plans.filter((other) => other.nodeId !== plan.nodeId);
      const seeds = spread(others, seedCount).flatMap(
        (other) => advertised.get(other.nodeId) ?? [],
      );
      const text = nodeSettingsText({
        host: plan,
        storeUrl: `http://${formatAddress(storeAddress)}`,
        seeds,
        advertisedPeers: advertised.get(plan.nodeId),
        seed: this.#options.seed,
        logLevel: this.#options.logLevel ?? 'info',
      });
      await this.#startHost(plan, text);
    }
  }

  async #startHost(plan: HostPlan, settings: string): Promise<void> {
    const settingsFile = path.join(this.folder, `${plan.nodeId}.toml`);
    const runLog = path.join(this.folder, `${plan.id}.runs`);
    await writeFile(settingsFile, settings);
    const control: Partial<BackendServerControl> = {
      slots: this.profile.slots,
      connections: this.profile.connections,
      serviceMilliseconds: this.profile.serviceMilliseconds,
      ...this.#options.control,
    };
    const node = this.#startProcess(plan.nodeId, [binaries.node, '--settings', settingsFile]);
    const backendServer = this.#startProcess(plan.id, [
      binaries.backendServer,
      ...['--id', plan.id, '--service', plan.service],
      ...['--port', String(plan.backendServer.port)],
      ...['--control-port', String(plan.control.port)],
      ...['--node', formatAddress(plan.announcements)],
      ...['--seed', String(this.#options.seed), '--control', JSON.stringify(control)],
      ...['--run-log', runLog],
    ]);
    this.hosts.push(new Host({ plan, node, backendServer, runLog }));
  }

  #startProcess(name: string, words: readonly string[]): ManagedProcess {
    const logFile = path.join(this.folder, `${name}.log`);
    return this.#processes.start({ name, arguments: words, logFile });
  }

  #describeEnd(entry: ManagedProcess): string {
    const end = JSON.stringify(entry.lastEnd);
    return `${entry.name} ended (${end}); its output is in ${this.folder}/${entry.name}.log`;
  }

  #progress(message: string): void {
    this.#options.onProgress?.(message);
  }
}

function waitForStart(description: string, check: () => Promise<boolean>): Promise<void> {
  return waitUntil(check, { description, limitMilliseconds: startLimitMilliseconds });
}

async function readDeployment(file: string): Promise<Deployment> {
  const parsed = parseDeployment(await readFile(file, 'utf8'), file);
  if (parsed.ok) return parsed.value;
  throw new Error(parsed.error.map(formatProblem).join('\n'));
}

/** Takes some members at even distances. */
function spread<Member>(members: readonly Member[], count: number): Member[] {
  const step = Math.max(1, Math.floor(members.length / count));
  return members.filter((_, index) => index % step === 0).slice(0, count);
}
