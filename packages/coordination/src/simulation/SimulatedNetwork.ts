import {
  type ControlCallError,
  type ControlChannel,
  type ControlHandler,
  fail,
  type NodeIdentity,
  type Result,
  type SocketAddress,
  succeed,
} from '@hickorybridge/types';
import type { RandomSource } from '@hickorybridge/utils';
import type { SimulatedClock } from './SimulatedClock.js';
import type { SimulatedProcess } from './SimulatedProcess.js';
import { SimulatedTraffic } from './SimulatedTraffic.js';

/** Tells whether messages from one node to another are cut off. */
export type CutPredicate = (from: string, to: string) => boolean;

/** Gives the one-way delay from one node to another, in milliseconds. */
export type DelayFunction = (from: string, to: string) => number;

/** Settings of a simulated network. */
export interface SimulatedNetworkOptions {
  readonly clock: SimulatedClock;
  readonly random: RandomSource;
}

/** A node on the network: who it is, where it is reached, and its process. */
export interface SimulatedNode {
  readonly identity: NodeIdentity;
  readonly address: SocketAddress;
  readonly process: SimulatedProcess;
}

interface ConnectedNode extends SimulatedNode {
  readonly handlers: Map<string, ControlHandler>;
  readonly traffic: SimulatedTraffic;
}

const defaultDelayMilliseconds = 1;

/** Time until a host that has no process refuses a connection. */
const refusalMilliseconds = 1;

/** Control calls between nodes in memory, with delay, loss, reordering and cuts. */
export class SimulatedNetwork {
  /** Share of messages that are lost, from 0 to 1; calls and replies count alike. */
  lossShare = 0;

  /** A random further delay up to this many milliseconds, which reorders messages. */
  jitterMilliseconds = 0;

  readonly #options: SimulatedNetworkOptions;

  readonly #nodes = new Map<string, ConnectedNode>();

  readonly #ended = new WeakSet<ConnectedNode>();

  #isCut: CutPredicate | undefined;

  #delayBetween: DelayFunction | undefined;

  constructor(options: SimulatedNetworkOptions) {
    this.#options = options;
  }

  /** Connects a node. An earlier one with the same name can still call, but is not called. */
  connect(node: SimulatedNode): ControlChannel {
    const traffic = new SimulatedTraffic();
    const connected: ConnectedNode = { ...node, handlers: new Map(), traffic };
    this.#nodes.set(node.identity.nodeId, connected);
    return {
      call: (nodeId, name, body, timeout) => this.#call(connected, nodeId, name, body, timeout),
      connect: (address, timeout) => this.#dial(connected, address, timeout),
      handle: (name, handler) => connected.handlers.set(name, handler),
    };
  }

  /** Sets the one-way delays; 1 ms without this call. */
  setDelays(delayBetween: DelayFunction): void {
    this.#delayBetween = delayBetween;
  }

  /** Cuts off the messages for which the predicate holds; without one, ends the cut. */
  setPartition(isCut?: CutPredicate): void {
    this.#isCut = isCut;
  }

  /** Takes a node off the network, as the end of its process does. */
  disconnect(identity: NodeIdentity): void {
    const node = this.#nodes.get(identity.nodeId);
    if (node?.identity.incarnation !== identity.incarnation) return;
    this.#nodes.delete(identity.nodeId);
    this.#ended.add(node);
  }

  /** Gives the traffic of a node: names and bodies of calls and replies as JSON. */
  trafficOf(nodeId: string): SimulatedTraffic | undefined {
    return this.#nodes.get(nodeId)?.traffic;
  }

  async #call(
    from: ConnectedNode,
    nodeId: string,
    name: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ControlCallError>> {
    const exchange = this.#exchange(from, nodeId, name, JSON.stringify(body ?? null));
    const result = await this.#limit(exchange, timeoutMilliseconds);
    await from.process.whenRunning();
    return result;
  }

  async #exchange(
    from: ConnectedNode,
    nodeId: string,
    name: string,
    text: string,
  ): Promise<Result<unknown, ControlCallError> | undefined> {
    const to = this.#nodes.get(nodeId);
    // A host that is gone refuses the connection; a lost message has no answer at all.
    if (to === undefined) return this.#refuse(nodeId);
    if (!(await this.#deliver(from, to, name.length + text.length))) return undefined;
    const handler = to.handlers.get(name);
    if (handler === undefined) return fail({ type: 'rejected', detail: `no handler for ${name}` });
    const reply = (await handler(JSON.parse(text) as unknown, from.identity)) ?? null;
    const replyText = JSON.stringify(reply);
    if (!(await this.#deliver(to, from, replyText.length))) return undefined;
    return succeed(JSON.parse(replyText) as unknown);
  }

  async #dial(
    from: ConnectedNode,
    address: SocketAddress,
    timeoutMilliseconds: number,
  ): Promise<Result<NodeIdentity, ControlCallError>> {
    const to = [...this.#nodes.values()].find(
      (node) => node.address.host === address.host && node.address.port === address.port,
    );
    if (to === undefined) return this.#refuse(`${address.host}:${address.port}`);
    const both = async () =>
      (await this.#deliver(from, to, 0)) && (await this.#deliver(to, from, 0))
        ? succeed(to.identity)
        : undefined;
    return this.#limit(both(), timeoutMilliseconds);
  }

  async #deliver(from: ConnectedNode, to: ConnectedNode, bytes: number): Promise<boolean> {
    from.traffic.countSent(bytes);
    const { random, clock } = this.#options;
    const lost = random.next() < this.lossShare;
    const jitter = this.jitterMilliseconds * random.next();
    const delay =
      this.#delayBetween?.(from.identity.nodeId, to.identity.nodeId) ?? defaultDelayMilliseconds;
    await clock.sleep(delay + jitter);
    const cut = this.#isCut?.(from.identity.nodeId, to.identity.nodeId) ?? false;
    if (lost || cut || this.#ended.has(from) || this.#ended.has(to)) return false;
    await to.process.whenRunning();
    to.traffic.countReceived(bytes);
    return true;
  }

  async #refuse(detail: string): Promise<{ ok: false; error: ControlCallError }> {
    await this.#options.clock.sleep(refusalMilliseconds);
    return fail({ type: 'unreachable', detail });
  }

  /** Gives the outcome of an exchange; a lost one (`undefined`) ends only by the time limit. */
  #limit<Value>(
    exchange: Promise<Result<Value, ControlCallError> | undefined>,
    milliseconds: number,
  ): Promise<Result<Value, ControlCallError>> {
    return new Promise((resolve) => {
      const cancel = this.#options.clock.schedule(milliseconds, () =>
        resolve(fail({ type: 'timeout' })),
      );
      exchange.then((result) => {
        if (result === undefined) return;
        cancel();
        resolve(result);
      });
    });
  }
}
