import { repositoryPath } from '@hickorybridge/replay';
import { StandInObjectStore } from '@hickorybridge/stand-ins';
import { RandomSource } from '@hickorybridge/utils';
import { readFileSync } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { Agent } from 'node:http';
import path from 'node:path';

import { CallerFleet } from './callers/CallerFleet.js';
import { ArrivalCounter } from './callers/ArrivalCounter.js';
import { ReadinessPoller } from './callers/ReadinessPoller.js';
import { RequestSender } from './callers/RequestSender.js';
import { RouteTimeouts } from './callers/RouteTimeouts.js';
import { DisturbanceDriver } from './disturbances/DisturbanceDriver.js';
import { findPorts } from './mesh/findPorts.js';
import { portsPerHost, serviceOf, settingsTextOf, type HostPorts } from './mesh/meshFiles.js';
import { MeshHost, type MeshHostContext } from './mesh/MeshHost.js';
import { keyUses } from './mesh/meshTenants.js';
import { MeshStore } from './mesh/MeshStore.js';
import { NodeProcess } from './mesh/NodeProcess.js';
import type { EventRecord } from './record/EventRecord.js';

/** What a run is made of. */
export interface SoakParts extends AsyncDisposable {
  readonly hosts: readonly MeshHost[];
  readonly store: MeshStore;
  readonly readiness: ReadinessPoller;
  readonly callers: CallerFleet;
  readonly driver: DisturbanceDriver;
}

/** What the parts are made for. */
export interface SoakPartsOptions {
  readonly hosts: number;
  /** Whether the deployment has tenants. */
  readonly tenants: boolean;
  /** Bundle of the node. */
  readonly program: string;
  /** Takes settings files and logs of the nodes. */
  readonly directory: string;
  readonly record: EventRecord;
  readonly random: RandomSource;
}

/** Creates and connects all parts of a run; nothing is started. */
export async function createSoak(options: SoakPartsOptions): Promise<SoakParts> {
  const { random, record, tenants } = options;
  // The ports are free at the moment, so they do not follow from the seed.
  const firstPort = await findPorts(
    (options.hosts + 1) * portsPerHost,
    new RandomSource(Date.now()),
  );
  const sender = new RequestSender(record, { nestedIds: tenants });
  const timeouts = new RouteTimeouts();
  const context = { record, sender, timeouts, arrivals: new ArrivalCounter() };
  const hosts: MeshHost[] = [];
  for (let index = 0; index < options.hosts; index += 1) {
    hosts.push(await createHost(index, firstPort, options, context));
  }
  const store = new MeshStore({
    store: new StandInObjectStore(),
    port: firstPort,
    record,
    timeouts,
    tenants,
  });
  const readiness = new ReadinessPoller(
    hosts.map(({ node, options: { ports, process } }) => ({
      name: node,
      port: ports.readiness,
      process,
    })),
    record,
  );
  const callers = new CallerFleet({
    hosts,
    sender,
    timeouts,
    random: random.fork(),
    keyUses: tenants ? keyUses : undefined,
    takesRequests: (node) => readiness.takesRequests(node),
  });
  const driver = new DisturbanceDriver({ record, hosts, store, callers, readiness });
  const parts = [...hosts, driver, readiness, callers, store];
  return {
    hosts,
    store,
    readiness,
    callers,
    driver,
    async [Symbol.asyncDispose]() {
      for (const part of parts) await part[Symbol.asyncDispose]();
    },
  };
}

async function createHost(
  index: number,
  firstPort: number,
  { directory, program, random, record, tenants }: SoakPartsOptions,
  context: MeshHostContext,
): Promise<MeshHost> {
  const name = `${serviceOf(index)}-${index}`;
  const port = firstPort + (index + 1) * portsPerHost;
  const ports: HostPorts = {
    backendServer: port,
    reports: port + 1,
    callers: port + 2,
    readiness: port + 3,
    inbound: port + 4,
    peers: port + 5,
  };
  const settingsFile = path.join(directory, `${name}.toml`);
  const settingsText = settingsTextOf({ name, index, ports, storePort: firstPort, tenants });
  await writeFile(settingsFile, settingsText);
  const process = new NodeProcess({
    name,
    arguments: [...deployedOptions(), program],
    settingsFile,
    logFile: path.join(directory, `${name}.log`),
    record,
  });
  const agent = new Agent({ keepAlive: true });
  const parts = { name, index, ports, settingsFile, settingsText, process, agent };
  return new MeshHost({ ...parts, random: random.fork() }, context);
}

/** The runtime's options in the deploy file. */
function deployedOptions(): string[] {
  const file = repositoryPath('deploy/system.toml');
  const [, run] = /^run = "node ([^"]+)"$/m.exec(readFileSync(file, 'utf8')) ?? [];
  if (run === undefined) throw new Error(`reading ${file}: no run command that begins with "node"`);
  return run.split(' ').filter((word) => word.startsWith('--'));
}
