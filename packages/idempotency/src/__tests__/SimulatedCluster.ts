import { SimulatedClock } from '@hickorybridge/coordination';
import { RandomSource } from '@hickorybridge/utils';

import { ClaimClient } from '../ClaimClient.js';
import type { ClaimOutcome } from '../ClaimClient.js';
import { ClaimHolder } from '../ClaimHolder.js';
import type { ClaimHandle } from '../ClaimHandle.js';
import { LoopbackChannel } from '../LoopbackChannel.js';
import { ViewKeeper } from '../ViewKeeper.js';
import { ViewRegister } from '../ViewRegister.js';
import { ViewTasks } from '../ViewTasks.js';
import { parseView, viewStoreKey } from '../claimView.js';
import type { ClaimView, HolderCandidate, ShardView } from '../claimView.js';
import { SimulatedNetwork } from './SimulatedNetwork.js';
import { SimulatedProcess } from './SimulatedProcess.js';
import { SimulatedStore } from './SimulatedStore.js';

/** Everything of one simulated node. */
export interface SimulatedNode {
  readonly process: SimulatedProcess;
  readonly holder: ClaimHolder;
  readonly views: ViewRegister;
  readonly client: ClaimClient;
  readonly keeper: ViewKeeper;
  readonly tasks: ViewTasks;
}

/** A grant that a router believed in, for the check that there are never two. */
export interface Grant {
  readonly key: string;
  readonly at: number;
  isReleased: boolean;
}

/** Settings of a cluster. */
export interface ClusterOptions {
  readonly seed: number;
  readonly nodes: readonly Omit<HolderCandidate, 'incarnation'>[];
  readonly retention?: number;
  readonly confirmationLimit?: number;
}

/** Four failure domains in two regions, with some nodes each. */
export function fourDomains(nodesPerDomain: number): Omit<HolderCandidate, 'incarnation'>[] {
  return ['south-1', 'south-2', 'north-1', 'north-2'].flatMap((failureDomain) =>
    Array.from({ length: nodesPerDomain }, (_, index) => ({
      nodeId: `${failureDomain}-${index}`,
      failureDomain,
      region: failureDomain.slice(0, 5),
    })),
  );
}

/** Nodes with claims on a simulated network and store. */
export class SimulatedCluster {
  readonly time = new SimulatedClock();

  readonly random: RandomSource;

  readonly network: SimulatedNetwork;

  readonly store: SimulatedStore;

  readonly nodes = new Map<string, SimulatedNode>();

  /** Nodes that membership reports as live; a test may differ from the truth. */
  readonly live = new Map<string, HolderCandidate>();

  readonly grants: Grant[] = [];

  /** Fencing tokens of the nodes that believe that they hold the keeper's lease. */
  readonly leases = new Map<string, { readonly fencingToken: number }>();

  readonly retention: number;

  #incarnation = 0;

  #names = 0;

  #token = 0;

  constructor(readonly options: ClusterOptions) {
    this.retention = options.retention ?? 60_000;
    this.random = new RandomSource(options.seed);
    this.network = new SimulatedNetwork(this.time, this.random);
    this.store = new SimulatedStore(this.random);
    for (const node of options.nodes) this.start(node.nodeId);
  }

  /** Starts a node, or restarts it with empty memory and a new incarnation. */
  start(nodeId: string): SimulatedNode {
    const place = this.options.nodes.find((node) => node.nodeId === nodeId);
    if (place === undefined) throw new Error(`no such node: ${nodeId}`);
    this.stop(nodeId);
    this.#incarnation += 1;
    const identity = { ...place, incarnation: this.#incarnation };
    const node = this.#assemble(identity);
    this.nodes.set(nodeId, node);
    this.live.set(nodeId, identity);
    return node;
  }

  /** Ends a node's process; membership notices when `live` is changed. */
  stop(nodeId: string): void {
    const node = this.nodes.get(nodeId);
    if (node !== undefined) node.process.isAlive = false;
    this.leases.delete(nodeId);
    this.live.delete(nodeId);
  }

  node(nodeId: string): SimulatedNode {
    const node = this.nodes.get(nodeId);
    if (node === undefined) throw new Error(`no such node: ${nodeId}`);
    return node;
  }

  /** Gives the lease to a node, with a higher token; former holders go on believing in theirs. */
  giveLease(nodeId: string): void {
    this.#token += 1;
    this.leases.set(nodeId, { fencingToken: this.#token });
  }

  /** Runs the keeper on a node until nothing is left to do, and spreads the view. */
  async keep(nodeId: string, rounds = 20): Promise<void> {
    for (let round = 0; round < rounds; round += 1) {
      const result = await this.settle(this.node(nodeId).keeper.runOnce());
      this.spread();
      if (result.type === 'unchanged') return;
      await this.time.advance(1_000);
    }
  }

  /** Lets nodes learn the view of the store; paused ones learn it when they resume. */
  spread(isReached: (index: number) => boolean = () => true): void {
    const view = this.storedView();
    if (view === undefined) return;
    for (const [index, node] of [...this.nodes.values()].entries()) {
      if (!isReached(index)) continue;
      node.process.whenRunning(() => {
        node.views.apply(view);
        node.holder.apply(view);
      });
    }
  }

  storedView(): ClaimView | undefined {
    const object = this.store.objects.get(viewStoreKey);
    return object && parseView(object.value, object.version);
  }

  shard(shard: number): ShardView {
    const entry = this.storedView()?.shards[shard];
    if (entry === undefined) throw new Error(`no view of shard ${shard}`);
    return entry;
  }

  /** Claims a key at a router and records a grant. */
  async claim(nodeId: string, key: string, fingerprint = 'same'): Promise<ClaimOutcome> {
    const node = this.node(nodeId);
    const outcome = await node.client.claim({
      service: 'laboratory',
      key,
      fingerprint,
      requestId: 'request',
      deadline: node.process.clock.now() + 10_000,
    });
    if (outcome.type === 'granted') this.#record(key, outcome.claim);
    return outcome;
  }

  /** Advances the time until a promise is fulfilled. */
  async settle<Value>(promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    promise.finally(() => {
      isSettled = true;
    });
    for (let step = 0; step < 40_000 && !isSettled; step += 1) await this.time.advance(5);
    return promise;
  }

  /** Pairs of grants of one key within the retention, where the first was not released. */
  doubleGrants(): Grant[][] {
    return this.grants.flatMap((first, index) =>
      this.grants
        .slice(index + 1)
        .filter((second) => second.key === first.key && !first.isReleased)
        .filter((second) => second.at - first.at < this.retention)
        .map((second) => [first, second]),
    );
  }

  #record(key: string, handle: ClaimHandle): void {
    if (handle.isValid) this.grants.push({ key, at: this.time.now(), isReleased: false });
  }

  #assemble(identity: HolderCandidate): SimulatedNode {
    const process = new SimulatedProcess(identity, this.time);
    const channel = new LoopbackChannel(this.network.register(process), identity);
    const views = new ViewRegister();
    const retentionMilliseconds = this.retention;
    const confirmationLimitMilliseconds = this.options.confirmationLimit ?? 600_000;
    const common = {
      channel,
      views,
      clock: process.clock,
      retentionMilliseconds,
      confirmationLimitMilliseconds,
    };
    const holder = new ClaimHolder({ ...common, identity });
    const store = this.store.clientFor(process);
    const client = new ClaimClient({
      ...common,
      location: identity,
      nameAttempt: () => this.#name('attempt'),
    });
    const keeper = new ViewKeeper({
      ...common,
      store,
      lease: { held: () => this.leases.get(identity.nodeId) },
      liveNodes: () => [...this.live.values()],
      nameView: () => this.#name('view'),
    });
    const tasks = new ViewTasks({ ...common, store, holder });
    return { process, holder, views, client, keeper, tasks };
  }

  #name(kind: string): string {
    this.#names += 1;
    return `${kind}-${this.#names}`;
  }
}
