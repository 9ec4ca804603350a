import { setMaxListeners } from 'node:events';
import {
  SimulatedClock,
  SimulatedNetwork,
  SimulatedProcess,
  SimulatedStore,
} from '@hickorybridge/coordination';
import { silentLogger } from '@hickorybridge/logger';
import { createMembership, type Membership } from '@hickorybridge/membership';
import type { Announcement, Location } from '@hickorybridge/types';
import { RandomSource } from '@hickorybridge/utils';
import { DeploymentObserver } from './DeploymentObserver.js';

/** Settings of a fleet. */
export interface SimulatedFleetOptions {
  readonly seed: number;
  readonly nodes: number;
}

/** Two regions with two failure domains each, as both deployments have them. */
const failureDomains = 4;
const SERVICES = 17;

const sameRegionMilliseconds = 1;
const otherRegionMilliseconds = 30;
const storeMilliseconds = 3;

/** The store handles about two thousand reads a second for all its clients together. */
const storeCallsPerSecond = 2000;

const renewalMilliseconds = 2000;
const SEEDS = 3;

/** Bytes of a deployment file with 17 services. */
const deploymentBytes = 6000;

/** Memberships in one process, with a backend server each, in simulated time. */
export class SimulatedFleet implements AsyncDisposable {
  readonly clock = new SimulatedClock();

  readonly store: SimulatedStore;

  readonly network: SimulatedNetwork;

  readonly observer = new DeploymentObserver();

  readonly #random: RandomSource;

  readonly #members = new Map<string, Membership>();

  readonly #stop = new AbortController();

  readonly #options: SimulatedFleetOptions;

  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    // Every node's renewal listens to the signal.
    setMaxListeners(0, this.#stop.signal);
    this.store = new SimulatedStore(this.clock, this.#random.fork());
    this.network = new SimulatedNetwork({ clock: this.clock, random: this.#random.fork() });
    this.network.setDelays((from, to) =>
      locationOf(indexOf(from)).region === locationOf(indexOf(to)).region
        ? sameRegionMilliseconds
        : otherRegionMilliseconds,
    );
    this.store.delayMilliseconds = storeMilliseconds;
    this.store.callsPerSecond = storeCallsPerSecond;
  }

  /** Starts all nodes within five seconds and waits until they know each other. */
  async start(): Promise<void> {
    this.applyDeployment(1);
    const { nodes } = this.#options;
    for (let index = 0; index < nodes; index += 1) {
      this.startNode(index);
      await this.clock.advance(5000 / nodes);
    }
    const agreed = await this.clock.advanceUntil(() => this.agrees(), 120_000, 500);
    if (agreed === undefined) throw new Error(`${nodes} nodes did not agree within 120 s`);
  }

  /** Starts a node; one with the same name that runs already is ended first. */
  startNode(index: number): void {
    const nodeId = `node-${index}`;
    this.endNode(index);
    const identity = { nodeId, incarnation: this.clock.wallTime() };
    const process = new SimulatedProcess(this.clock);
    const address = addressOf(index);
    const membership = createMembership({
      identity,
      location: locationOf(index),
      peerAddress: address,
      operatorsAddress: { host: '127.0.0.1', port: 9000 },
      store: this.store,
      channel: this.network.connect({ identity, address, process }),
      seeds: Array.from({ length: SEEDS }, (_, seed) => addressOf(seed)),
      clock: process,
      random: this.#random.fork(),
      logger: silentLogger,
      // The network counts the bytes.
      sizeOf: () => 0,
    });
    this.#members.set(nodeId, membership);
    membership.onDeployment(({ number }) => this.observer.note(nodeId, number, this.clock.now()));
    membership.start();
    membership.announce(announcementOf(index));
    this.#renew(membership, index);
  }

  /** Ends a node without any word to its peers. */
  endNode(index: number): void {
    const membership = this.#members.get(`node-${index}`);
    if (membership === undefined) return;
    this.network.disconnect(membership.summary().identity);
    this.#members.delete(`node-${index}`);
    this.observer.forget(`node-${index}`);
    membership[Symbol.asyncDispose]();
  }

  /** Writes a deployment as an operator does. */
  applyDeployment(number: number): void {
    const text = `# ${'x'.repeat(deploymentBytes)}`;
    const deployment = { number, applyId: `apply-${number}`, acceptedAt: 0, text };
    this.store.put('deployment/current', JSON.stringify(deployment));
  }

  /** Waits until all nodes have a deployment; gives the time in seconds, or the limit. */
  async secondsUntilInEffect(number: number, limitMilliseconds: number): Promise<number> {
    const startedAt = this.clock.now();
    const all = () =>
      this.members().every((membership) => membership.deployment()?.number === number);
    await this.clock.advanceUntil(all, limitMilliseconds, 10);
    return (this.clock.now() - startedAt) / 1000;
  }

  /** Lists the nodes that run. */
  members(): Membership[] {
    return [...this.#members.values()];
  }

  /** Gives what each node has sent since its start. */
  trafficByNode(): Map<string, { readonly bytes: number; readonly messages: number }> {
    const names = [...this.#members.keys()];
    return new Map(
      names.map((nodeId) => {
        const traffic = this.network.trafficOf(nodeId);
        return [nodeId, { bytes: traffic?.bytesSent ?? 0, messages: traffic?.messagesSent ?? 0 }];
      }),
    );
  }

  /** Whether every node knows as many nodes as there are, and a deployment. */
  agrees(): boolean {
    const { nodes } = this.#options;
    return this.members().every(
      (membership) => membership.nodes().length === nodes && membership.ready(),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    for (let index = 0; index < this.#options.nodes; index += 1) this.endNode(index);
    await this.clock.advance(5000);
  }

  async #renew(membership: Membership, index: number): Promise<void> {
    const { nodeId } = membership.summary().identity;
    while (!this.#stop.signal.aborted && this.#members.get(nodeId) === membership) {
      await this.clock.sleep(renewalMilliseconds, this.#stop.signal);
      membership.announce(announcementOf(index));
    }
  }
}

function locationOf(index: number): Location {
  const domain = index % failureDomains;
  return { region: `region-${Math.floor(domain / 2)}`, failureDomain: `domain-${domain}` };
}

function addressOf(index: number) {
  return { host: `10.0.${Math.floor(index / 250)}.${index % 250}`, port: 7000 };
}

function announcementOf(index: number): Announcement {
  return {
    backendServerId: `backend-server-${index}`,
    service: `service-${index % SERVICES}`,
    address: { host: '127.0.0.1', port: 8000 },
    slots: 13,
    connections: 260,
    rampMilliseconds: 2000,
  };
}

function indexOf(nodeId: string): number {
  return Number(nodeId.slice('node-'.length));
}
