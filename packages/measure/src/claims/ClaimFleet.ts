import {
  ClaimClient,
  ClaimHolder,
  LoopbackChannel,
  ViewKeeper,
  ViewRegister,
} from '@hickorybridge/idempotency';
import type { HolderCandidate } from '@hickorybridge/idempotency';
import {
  FrameType,
  decodeFrame,
  encodeFrame,
  lengthPrefixBytes,
} from '@hickorybridge/peer-protocol';
import { Distance, distanceBetween, fail, succeed } from '@hickorybridge/types';
import type {
  ControlChannel,
  ControlHandler,
  Result,
  ControlCallError,
} from '@hickorybridge/types';
import { systemClock } from '@hickorybridge/utils';

import { MemoryStore } from './MemoryStore.js';

/** One node of the fleet. */
export interface FleetNode {
  readonly identity: HolderCandidate;
  readonly handlers: Map<string, ControlHandler>;
  readonly views: ViewRegister;
  readonly holder: ClaimHolder;
  readonly client: ClaimClient;
}

/** One-way delays in milliseconds, by distance; undefined delivers at once. */
export type FleetDelays = Readonly<Record<Distance, number>> | undefined;

/** Bytes and calls between nodes; a node's calls to itself are not counted. */
export interface FleetTraffic {
  calls: number;
  linkBytes: number;
  otherBytes: number;
}

const retentionMilliseconds = 2 * 3_600_000;
const storeMilliseconds = 2;
const keeperIntervalMilliseconds = 100;
const spreadMilliseconds = 60;

/** Nodes with claims in one process. Every call passes through the codec of the peer protocol. */
export class ClaimFleet implements AsyncDisposable {
  readonly nodes = new Map<string, FleetNode>();

  /** Nodes that may be holders. */
  readonly live = new Map<string, HolderCandidate>();

  readonly traffic: FleetTraffic = { calls: 0, linkBytes: 0, otherBytes: 0 };

  readonly #delays: FleetDelays;

  readonly #store = new MemoryStore(storeMilliseconds);

  readonly #ending = new AbortController();

  #calls = 0;

  #incarnation = 0;

  #keeping: Promise<void> = Promise.resolve();

  constructor(nodesPerDomain: number, delays?: FleetDelays) {
    this.#delays = delays;
    for (const failureDomain of ['south-1', 'south-2', 'north-1', 'north-2']) {
      for (let index = 0; index < nodesPerDomain; index += 1) {
        const region = failureDomain.slice(0, -2);
        this.start({ nodeId: `${failureDomain}-${index}`, region, failureDomain });
      }
    }
  }

  /** Starts a node, or restarts it with empty memory. */
  start(place: Omit<HolderCandidate, 'incarnation'>): FleetNode {
    this.#incarnation += 1;
    const identity = { ...place, incarnation: this.#incarnation };
    const handlers = new Map<string, ControlHandler>();
    const channel = new LoopbackChannel(this.#channelOf(identity, handlers), identity);
    const views = new ViewRegister();
    const common = { channel, views, clock: systemClock, retentionMilliseconds };
    const holder = new ClaimHolder({ ...common, identity });
    views.onChange((view) => holder.apply(view));
    const client = new ClaimClient({ ...common, location: identity });
    const node = { identity, handlers, views, holder, client };
    this.nodes.set(identity.nodeId, node);
    this.live.set(identity.nodeId, identity);
    return node;
  }

  /** Makes the first view, and goes on replacing holders in the background. */
  async keep(): Promise<void> {
    const identity = {
      nodeId: 'keeper',
      incarnation: 1,
      region: 'south',
      failureDomain: 'south-1',
    };
    const views = new ViewRegister();
    views.onChange((view) => {
      for (const node of this.nodes.values()) {
        setTimeout(
          () => node.views.apply(view),
          this.#delays === undefined ? 0 : spreadMilliseconds,
        );
      }
    });
    const keeper = new ViewKeeper({
      store: this.#store,
      channel: this.#channelOf(identity, new Map()),
      clock: systemClock,
      lease: { held: () => ({ fencingToken: 1 }) },
      views,
      liveNodes: () => [...this.live.values()],
      intervalMilliseconds: keeperIntervalMilliseconds,
    });
    await keeper.runOnce();
    this.#keeping = keeper.run(this.#ending.signal);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#ending.abort();
    await this.#keeping;
  }

  #channelOf(from: HolderCandidate, handlers: Map<string, ControlHandler>): ControlChannel {
    return {
      call: (nodeId, name, body) => this.#call(from, nodeId, name, body),
      connect: async () => fail({ type: 'unreachable', detail: 'not needed here' }),
      handle: (name, handler) => {
        handlers.set(name, handler);
      },
    };
  }

  async #call(
    from: HolderCandidate,
    nodeId: string,
    name: string,
    body: unknown,
  ): Promise<Result<unknown, ControlCallError>> {
    this.#calls += 1;
    const to = this.nodes.get(nodeId);
    if (to === undefined) return fail({ type: 'unreachable', detail: nodeId });
    const call = this.#transfer(from, to.identity, { name, body });
    await this.#wait(from, to.identity);
    if (this.nodes.get(nodeId) !== to) return fail({ type: 'unreachable', detail: nodeId });
    const value = to.handlers.get(name)?.(call, from);
    const reply = this.#transfer(to.identity, from, { body: value });
    await this.#wait(to.identity, from);
    return succeed(reply);
  }

  /** Encodes and decodes a frame, and counts its bytes. Gives the decoded body. */
  #transfer(
    from: HolderCandidate,
    to: HolderCandidate,
    content: { readonly name?: string; readonly body: unknown },
  ): unknown {
    const { name, body } = content;
    const frame = encodeFrame(
      name === undefined
        ? { type: FrameType.reply, call: this.#calls, error: undefined, body }
        : { type: FrameType.call, call: this.#calls, name, body },
    );
    this.traffic.calls += 1;
    if (from.region === to.region) this.traffic.otherBytes += frame.length;
    else this.traffic.linkBytes += frame.length;
    const decoded = decodeFrame(frame.subarray(lengthPrefixBytes));
    if (!decoded.ok || !('body' in decoded.value)) throw new Error('a frame could not be decoded');
    return decoded.value.body;
  }

  async #wait(from: HolderCandidate, to: HolderCandidate): Promise<void> {
    if (this.#delays === undefined) return;
    await systemClock.sleep(this.#delays[distanceBetween(from, to)]);
  }
}
