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

/** Whether messages from one node to another are dropped by a partition. */
export type PartitionPredicate = (from: string, to: string) => boolean;

/** Returns the one-way delay from one node to another, in milliseconds. */
export type DelayFunction = (from: string, to: string) => number;

/** Options of {@link SimulatedNetwork}. */
export interface SimulatedNetworkOptions {
  readonly clock: SimulatedClock;
  readonly random: RandomSource;
}

/** A node of the network, with its identity, address and process. */
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

/** Time until a host without a listening process refuses a connection. */
const refusalMilliseconds = 1;

/** In-memory control calls between nodes, with delay, loss, reordering and network partitions. */
export class SimulatedNetwork {
  /** Probability that a message is lost, from 0 to 1; applies to each call and each reply. */
  lossProbability = 0;

  /** Maximum random delay added to each message, in milliseconds; reorders messages. */
  jitterMilliseconds = 0;

  readonly #options: SimulatedNetworkOptions;

  readonly #nodes = new Map<string, ConnectedNode>();

  readonly #disconnected = new WeakSet<ConnectedNode>();

  #isPartitioned: PartitionPredicate | undefined;

  #delayBetween: DelayFunction | undefined;

  constructor(options: SimulatedNetworkOptions) {
    this.#options = options;
  }

  /** Connects a node. An earlier node with the same ID can still make calls but receives none. */
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

  /** Sets the one-way delays; the default is 1 ms. */
  setDelays(delayBetween: DelayFunction): void {
    this.#delayBetween = delayBetween;
  }

  /** Drops the messages that match the predicate; called without one, ends the partition. */
  setPartition(isPartitioned?: PartitionPredicate): void {
    this.#isPartitioned = isPartitioned;
  }

  /** Removes a node from the network, as when its process ends. */
  disconnect(identity: NodeIdentity): void {
    const node = this.#nodes.get(identity.nodeId);
    if (node?.identity.incarnation !== identity.incarnation) return;
    this.#nodes.delete(identity.nodeId);
    this.#disconnected.add(node);
  }

  /**
   * Returns the traffic of a node, counted as the JSON length of call names, bodies and replies.
   */
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
    const roundTrip = this.#roundTrip(from, nodeId, name, JSON.stringify(body ?? null));
    const result = await this.#withTimeout(roundTrip, timeoutMilliseconds);
    await from.process.whenRunning();
    return result;
  }

  async #roundTrip(
    from: ConnectedNode,
    nodeId: string,
    name: string,
    text: string,
  ): Promise<Result<unknown, ControlCallError> | undefined> {
    const to = this.#nodes.get(nodeId);
    // A missing node refuses the connection; a lost message gets no answer.
    if (to === undefined) return this.#refuseConnection(nodeId);
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
    if (to === undefined) return this.#refuseConnection(`${address.host}:${address.port}`);
    const handshake = async () =>
      (await this.#deliver(from, to, 0)) && (await this.#deliver(to, from, 0))
        ? succeed(to.identity)
        : undefined;
    return this.#withTimeout(handshake(), timeoutMilliseconds);
  }

  async #deliver(from: ConnectedNode, to: ConnectedNode, bytes: number): Promise<boolean> {
    from.traffic.countSent(bytes);
    const { random, clock } = this.#options;
    const lost = random.next() < this.lossProbability;
    const jitter = this.jitterMilliseconds * random.next();
    const delay =
      this.#delayBetween?.(from.identity.nodeId, to.identity.nodeId) ?? defaultDelayMilliseconds;
    await clock.sleep(delay + jitter);
    const partitioned = this.#isPartitioned?.(from.identity.nodeId, to.identity.nodeId) ?? false;
    if (lost || partitioned || this.#disconnected.has(from) || this.#disconnected.has(to))
      return false;
    await to.process.whenRunning();
    to.traffic.countReceived(bytes);
    return true;
  }

  async #refuseConnection(detail: string): Promise<{ ok: false; error: ControlCallError }> {
    await this.#options.clock.sleep(refusalMilliseconds);
    return fail({ type: 'unreachable', detail });
  }

  /** Applies a timeout to a round trip; a lost one (`undefined`) ends only by the timeout. */
  #withTimeout<Value>(
    roundTrip: Promise<Result<Value, ControlCallError> | undefined>,
    milliseconds: number,
  ): Promise<Result<Value, ControlCallError>> {
    return new Promise((resolve) => {
      const cancel = this.#options.clock.schedule(milliseconds, () =>
        resolve(fail({ type: 'timeout' })),
      );
      roundTrip.then((result) => {
        if (result === undefined) return;
        cancel();
        resolve(result);
      });
    });
  }
}
