import assert from 'node:assert/strict';
import {
  SimulatedClock,
  SimulatedNetwork,
  SimulatedProcess,
  SimulatedStore,
} from '@hickorybridge/coordination';
import { silentLogger } from '@hickorybridge/logger';
import type { NodeIdentity, SocketAddress } from '@hickorybridge/types';
import { RandomSource } from '@hickorybridge/utils';
import { createMembership, type Membership } from '../index.js';

export interface FleetNode {
  readonly identity: NodeIdentity;
  readonly membership: Membership;
  readonly process: SimulatedProcess;
}

/** Nodes on a simulated network with a simulated store; node `n3` of 4 domains is in `d3`. */
export class Fleet {
  readonly clock = new SimulatedClock();

  readonly store = new SimulatedStore(this.clock);

  readonly random: RandomSource;

  readonly network: SimulatedNetwork;

  readonly nodes = new Map<string, FleetNode>();

  constructor(
    seed: number,
    readonly domains = 2,
  ) {
    this.random = new RandomSource(seed);
    this.network = new SimulatedNetwork({ clock: this.clock, random: this.random.fork() });
  }

  /** Starts a node, without its end when it ran before; `n0` is the seed of all. */
  start(index: number, seeds: readonly SocketAddress[] = [addressOf(0)]): FleetNode {
    const nodeId = `n${index}`;
    const incarnation = this.clock.wallTime();
    const identity = { nodeId, incarnation };
    const process = new SimulatedProcess(this.clock);
    const address = addressOf(index);
    const membership = createMembership({
      identity,
      location: { region: `r${index % 2}`, failureDomain: `d${index % this.domains}` },
      peerAddress: address,
      operatorsAddress: { host: address.host, port: 9000 },
      store: this.store,
      channel: this.network.connect({ identity, address, process }),
      seeds,
      clock: process,
      random: this.random.fork(),
      logger: silentLogger,
    });
    const node = { identity, membership, process };
    this.nodes.set(nodeId, node);
    membership.start();
    return node;
  }

  startAll(count: number): void {
    for (let index = 0; index < count; index += 1) this.start(index);
  }

  /** Ends a node without any word to its peers. */
  kill(index: number): void {
    const node = this.nodes.get(`n${index}`);
    if (node === undefined) return;
    this.network.disconnect(node.identity);
    this.nodes.delete(`n${index}`);
    node.membership[Symbol.asyncDispose]();
  }

  memberships(): Membership[] {
    return [...this.nodes.values()].map(({ membership }) => membership);
  }

  applyDeployment(number: number): void {
    this.store.put('deployment/current', deploymentText(number));
  }

  /** Whether all nodes know exactly the nodes that run. */
  agrees(): boolean {
    const expected = [...this.nodes.values()]
      .map(({ identity }) => `${identity.nodeId}/${identity.incarnation}`)
      .sort()
      .join();
    return this.memberships().every((membership) => describeNodes(membership) === expected);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const ends = this.memberships().map((membership) => membership[Symbol.asyncDispose]());
    await this.clock.advance(10_000);
    await Promise.all(ends);
  }
}

export function deploymentText(number: number): string {
  return JSON.stringify({ number, applyId: `apply-${number}`, acceptedAt: 0, text: 'name = "x"' });
}

export function addressOf(index: number): SocketAddress {
  return { host: `10.0.${Math.floor(index / 250)}.${index % 250}`, port: 7000 };
}

export function announcementOf(backendServerId: string, service = 'catalogue') {
  const address = { host: '127.0.0.1', port: 8000 };
  return { backendServerId, service, address, slots: 4, connections: 16, rampMilliseconds: 100 };
}

function describeNodes(membership: Membership): string {
  return membership
    .nodes()
    .map(({ nodeId, incarnation }) => `${nodeId}/${incarnation}`)
    .sort()
    .join();
}

/** Starts nodes with deployment 1 and waits until they agree. */
export async function startedFleet(seed: number, count: number, domains = 2): Promise<Fleet> {
  const fleet = new Fleet(seed, domains);
  fleet.applyDeployment(1);
  fleet.startAll(count);
  await fleet.clock.advance(15_000);
  assert.ok(fleet.agrees(), 'the started fleet did not agree within 15 s');
  return fleet;
}
