import type { QuotaBounds, Tenant } from '@hickorybridge/types';
import { RandomSource } from '@hickorybridge/utils';
import assert from 'node:assert/strict';

import {
  BrokerMembership,
  quotaBound,
  Quotas,
  SimulatedClock,
  SimulatedNetwork,
  SimulatedProcess,
  type BrokerHost,
  type PartitionPredicate,
  type QuotaCounts,
} from '../index.js';

/** The first letter of a name is its region. */
export function host(nodeId: string): BrokerHost {
  return { nodeId, region: nodeId.slice(0, 1) };
}

export interface SimulatedLoad {
  readonly perSecond: number;
  readonly seconds: number;
  readonly random: RandomSource;
  /** Share of the granted requests that do not run, whose tokens are returned. */
  readonly notRunShare?: number;
}

/** What happens to the nodes and their links. */
export type SimulatedEvent =
  | { readonly type: 'restart' | 'stop' | 'pause' | 'replace' | 'late-list'; readonly node: string }
  | { readonly type: 'cut' | 'heal' | 'unlist-region' | 'restart-all' };

interface SimulatedNode {
  readonly quotas: Quotas;
  readonly membership: BrokerMembership;
  readonly process: SimulatedProcess;
  readonly identity: { readonly nodeId: string; readonly incarnation: number };
}

/** A request that ran, and the limit at that time. */
interface Run {
  readonly time: number;
  readonly limit: Tenant;
}

const nearMilliseconds = 2;
const farMilliseconds = 30;

/** Nodes with quotas over a simulated network. */
export class SimulatedQuotas {
  readonly clock = new SimulatedClock();

  readonly runs: Run[] = [];

  readonly refused: number[] = [];

  /** Requests that were decided only after a message. */
  waited = 0;

  readonly #bounds: QuotaBounds;

  readonly #network: SimulatedNetwork;

  readonly #nodes = new Map<string, SimulatedNode>();

  #brokers: BrokerHost[];

  #limit: Tenant | undefined;

  #limitSince = 0;

  #incarnation = 0;

  /** The one node that does not see changes of the list. */
  #lateNode: string | undefined;

  #isCut: PartitionPredicate | undefined;

  constructor(bounds: QuotaBounds, brokers: readonly BrokerHost[], others: readonly string[]) {
    this.#bounds = bounds;
    this.#brokers = [...brokers];
    this.#network = new SimulatedNetwork({ clock: this.clock, random: new RandomSource(5) });
    this.#network.setDelays((from, to) => (from[0] === to[0] ? nearMilliseconds : farMilliseconds));
    for (const { nodeId } of brokers) this.#start(nodeId);
    for (const nodeId of others) this.#start(nodeId);
  }

  get nodeIds(): string[] {
    return [...this.#nodes.keys()];
  }

  countsOf(nodeId: string): QuotaCounts {
    return this.#node(nodeId).quotas.counts;
  }

  sizeOf(nodeId: string): number {
    return this.#node(nodeId).quotas.size;
  }

  brokeredTenantsOf(nodeId: string): number {
    return this.#node(nodeId).quotas.brokeredTenants;
  }

  setPartition(isCut: PartitionPredicate): void {
    this.#network.setPartition(isCut);
  }

  /** Puts a limit in force at all nodes. */
  setLimit(limit: Tenant): void {
    this.#limit = limit;
    this.#limitSince = this.clock.now();
  }

  /** Sends a request and counts what becomes of it. */
  async send(
    nodeId: string,
    tenant: Tenant,
    { runs = true, milliseconds = 0 } = {},
  ): Promise<void> {
    this.#limit = tenant;
    const node = this.#nodes.get(nodeId);
    if (node === undefined) return;
    const pending = node.quotas.acquire(tenant);
    if (pending instanceof Promise) this.waited += 1;
    const decision = await pending;
    await node.process.whenRunning();
    if (decision.type === 'over-quota') this.refused.push(this.clock.now());
    else if (!runs) {
      if (milliseconds > 0) await this.clock.sleep(milliseconds);
      node.quotas.release(tenant, decision.token);
    } else this.runs.push({ time: this.clock.now(), limit: tenant });
  }

  /** Sends requests at random times from random nodes. */
  async sendRandomly(nodes: readonly string[], tenant: Tenant, load: SimulatedLoad): Promise<void> {
    const { notRunShare = 0, perSecond, random, seconds } = load;
    const end = this.clock.now() + seconds * 1000;
    for (;;) {
      const pause = (-Math.log(1 - random.next()) / perSecond) * 1000;
      if (this.clock.now() + pause >= end) break;
      await this.clock.advance(pause);
      const runs = random.next() >= notRunShare;
      this.send(nodes[random.integerBelow(nodes.length)] ?? '', tenant, { runs });
    }
    await this.clock.advance(end - this.clock.now());
  }

  /** Highest number of requests that ran in any window. */
  highestInWindow(runs: readonly Run[] = this.runs): number {
    let highest = 0;
    let first = 0;
    runs.forEach(({ time }, last) => {
      while (time - (runs[first]?.time ?? 0) > this.#bounds.windowMilliseconds) first += 1;
      highest = Math.max(highest, last - first + 1);
    });
    return highest;
  }

  /** Checks the bound of the limit in force, from one window after it came into force. */
  assertBound(): void {
    if (this.#limit === undefined) return;
    const from = this.#limitSince + (this.#limitSince > 0 ? this.#bounds.windowMilliseconds : 0);
    const highest = this.highestInWindow(this.runs.filter(({ time }) => time >= from));
    const bound = quotaBound(this.#limit, this.#bounds);
    assert.ok(highest <= bound, `${highest} requests in a window, ${bound} allowed`);
  }

  apply(event: SimulatedEvent): void {
    const names = this.nodeIds;
    switch (event.type) {
      case 'cut':
        this.#isCut = (from, to) => from[0] !== to[0];
        break;
      case 'heal':
        this.#isCut = undefined;
        break;
      case 'unlist-region':
        this.#unlistRegion();
        break;
      case 'restart-all':
        for (const nodeId of names) this.#stop(nodeId);
        for (const nodeId of names) this.#start(nodeId, true);
        break;
      case 'restart':
        this.#stop(event.node);
        this.#start(event.node, true);
        break;
      case 'stop':
        this.#stop(event.node);
        break;
      case 'pause':
        this.#pause(event.node);
        break;
      case 'late-list':
        this.#lateNode = event.node;
        break;
      default:
        this.#replace(event.node);
    }
    this.#network.setPartition(this.#isCut);
  }

  #node(nodeId: string): SimulatedNode {
    const node = this.#nodes.get(nodeId);
    assert.ok(node !== undefined, `no node ${nodeId}`);
    return node;
  }

  #start(nodeId: string, isRestart = false): void {
    this.#incarnation += 1;
    const identity = { nodeId, incarnation: this.#incarnation };
    const process = new SimulatedProcess(this.clock);
    const address = { host: nodeId, port: 1 };
    const membership = new BrokerMembership({ nodeId, clock: this.clock });
    const quotas = new Quotas({
      nodeId,
      region: host(nodeId).region,
      channel: this.#network.connect({ identity, address, process }),
      clock: this.clock,
      bounds: this.#bounds,
      membership,
      limitOf: () => this.#limit,
      isReachable: () => true,
      onUnanswered: () => {},
    });
    this.#nodes.set(nodeId, { quotas, membership, process, identity });
    membership.update({
      brokers: this.#brokers,
      hasStepped: () => true,
      includesOwnHost: isRestart,
    });
  }

  #stop(nodeId: string): void {
    const node = this.#nodes.get(nodeId);
    if (node === undefined) return;
    this.#network.disconnect(node.identity);
    this.#nodes.delete(nodeId);
  }

  /** Stands still for a second. */
  #pause(nodeId: string): void {
    const node = this.#nodes.get(nodeId);
    if (node === undefined) return;
    node.process.pause();
    this.clock.schedule(1000, () => node.process.resume());
  }

  /**
   * Removes the hosts of a region that is cut off, where its own nodes cannot see it. Nodes that
   * start later still see the whole list: the bound does not cover that they would forget the region
   * (see "Limits" in docs/design/quotas.md).
   */
  #unlistRegion(): void {
    this.#isCut = (from, to) => from[0] !== to[0];
    const brokers = this.#brokers.filter(({ region }) => region !== 'a');
    for (const [name, { membership }] of this.#nodes) {
      if (name.startsWith('a') || name === this.#lateNode) continue;
      membership.update({ brokers, hasStepped: () => false, includesOwnHost: true });
    }
  }

  /** Lists another broker in the place of a host that has vanished or is cut off. */
  #replace(nodeId: string): void {
    if (!this.#brokers.some((broker) => broker.nodeId === nodeId)) return;
    const substitute = `${nodeId.slice(0, 1)}${10 + this.#incarnation}`;
    this.#brokers = this.#brokers.map((broker) =>
      broker.nodeId === nodeId ? host(substitute) : broker,
    );
    // A host whose entry was removed does not learn of it: it is cut off from the list.
    const isolated = nodeId;
    for (const [name, { membership }] of this.#nodes) {
      if (name === isolated || name === this.#lateNode) continue;
      membership.update({ brokers: this.#brokers, hasStepped: () => false, includesOwnHost: true });
    }
    this.#start(substitute);
  }
}
