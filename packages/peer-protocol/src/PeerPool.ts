import type { Logger } from '@hickorybridge/logger';
import {
  distanceBetween,
  fail,
  succeed,
  type ControlCallError,
  type ControlChannel,
  type ControlHandler,
  type Distance,
  type LoadReport,
  type NodeIdentity,
  type RequestHead,
  type Result,
  type SocketAddress,
} from '@hickorybridge/types';
import {
  ListenerOpener,
  type Clock,
  type ConnectionAccount,
  type ListenError,
} from '@hickorybridge/utils';
import { createServer, type Server, type Socket } from 'node:net';

import { unlimitedControlBudget, type ControlBudget } from './ControlBudget.js';
import { FrameSocket } from './FrameSocket.js';
import type { LocalEndpoint } from './handshake.js';
import { openSocket } from './openSocket.js';
import { patientLiveness, PeerConnection, type PeerLiveness } from './PeerConnection.js';
import { PeerTraffic } from './PeerTraffic.js';
import {
  acceptHandshake,
  dialHandshake,
  type HandshakeError,
  type PeerIntroduction,
} from './performHandshake.js';
import type { ExecutionOutcome, RequestBody, RequestExecutor } from './RequestExecutor.js';

const dialTimeoutMilliseconds = 1000;
// Both sides have long since chosen the other connection by then.
const spareMilliseconds = 5000;
// No name of a call starts with this character.
const noPrefix = '\u0000';
// Bounds the memory that processes without the shared key can take.
const maxPendingHandshakes = 256;

/** What a pool needs. */
export interface PeerPoolOptions {
  readonly endpoint: LocalEndpoint;
  /** Gives the address of a node's peer listener, or `undefined` when the node is not known. */
  readonly addressOf: (nodeId: string) => SocketAddress | undefined;
  /** Runs the requests that peers send to this node. */
  readonly executor: RequestExecutor;
  /** Limits control traffic; by default there is no limit. */
  readonly budget?: ControlBudget;
  /** Calls whose names start so belong to requests and are not limited. */
  readonly requestCallPrefix?: string;
  /** Is told of each handshake, with the peer's deployment number. */
  readonly introduced?: (introduction: PeerIntroduction) => void;
  /** When a peer is found to be silent; `patientLiveness` by default. */
  readonly liveness?: PeerLiveness;
  /** Whether idempotent requests wait for a silent peer, too; by default they run elsewhere. */
  readonly waitsForSilentPeers?: () => boolean;
  /** Load that peers are told when they ask; without one they get no answer. */
  readonly localLoad?: () => LoadReport | undefined;
  /** Is told of the load that a peer reports. */
  readonly onLoad?: (nodeId: string, report: LoadReport) => void;
  /** Is told when the last connection with a peer has ended, or is silent. */
  readonly onLost?: (nodeId: string, reason: string) => void;
  /** Limits the connections that are accepted and what they hold; by default there is no limit. */
  readonly account?: ConnectionAccount;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A node that a connection is open with. */
export interface ConnectedPeer {
  readonly nodeId: string;
  readonly distance: Distance;
}

/** All connections with peers: one for each peer in use, dialled when it is first needed. */
export class PeerPool implements ControlChannel, AsyncDisposable {
  readonly traffic = new PeerTraffic();

  readonly #options: PeerPoolOptions;

  readonly #handlers = new Map<string, ControlHandler>();

  readonly #connections = new Map<string, PeerConnection>();

  readonly #all = new Set<PeerConnection>();

  readonly #dialling = new Map<string, Promise<Result<PeerConnection, ControlCallError>>>();

  readonly #handshakes = new Set<Socket>();

  readonly #ticker: NodeJS.Timeout;

  readonly #liveness: PeerLiveness;

  #server: Server | undefined;

  #disposed = false;

  constructor(options: PeerPoolOptions) {
    this.#options = options;
    this.#liveness = options.liveness ?? patientLiveness;
    this.#ticker = setInterval(() => this.#tick(), this.#liveness.tickMilliseconds);
    this.#ticker.unref();
  }

  /** Number of open connections. */
  get size(): number {
    return this.#all.size;
  }

  /** Frames that came for streams that were finished or unknown. */
  get droppedFrames(): number {
    return [...this.#all].reduce((sum, connection) => sum + connection.droppedFrames, 0);
  }

  /** Requests of peers whose answers are not sent completely yet. */
  get runningRequests(): number {
    return [...this.#all].reduce((sum, connection) => sum + connection.runningRequests, 0);
  }

  /** Opens the listener for peers. */
  async listen(
    address: SocketAddress,
    opener = ListenerOpener.withoutRetry(),
  ): Promise<Result<SocketAddress, ListenError>> {
    const server = createServer((socket) => this.#accept(socket));
    this.#server = server;
    return opener.open(server, address);
  }

  handle(name: string, handler: ControlHandler): void {
    this.#handlers.set(name, handler);
  }

  async call(
    nodeId: string,
    name: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ControlCallError>> {
    const connection = await this.#connectionTo(nodeId);
    if (!connection.ok) return connection;
    return connection.value.call(name, body, timeoutMilliseconds);
  }

  /** Whether a connection with a node is open. */
  isConnected(nodeId: string): boolean {
    return this.#openConnection(nodeId) !== undefined;
  }

  /** Shortest time to a connected node and back, in milliseconds, once it was measured. */
  roundTripTo(nodeId: string): number | undefined {
    return this.#openConnection(nodeId)?.roundTripMilliseconds;
  }

  /** Lists the connected nodes. */
  connectedPeers(): ConnectedPeer[] {
    return [...this.#connections]
      .filter(([, connection]) => !connection.closed && !connection.silent)
      .map(([nodeId, { distance }]) => ({ nodeId, distance }));
  }

  /** Opens the connection with a node, unless there is one. */
  async open(nodeId: string): Promise<Result<undefined, ControlCallError>> {
    const connection = await this.#connectionTo(nodeId);
    return connection.ok ? succeed(undefined) : connection;
  }

  /** Asks a connected node for its load, which `onLoad` gets. Returns false when it would not answer. */
  requestLoad(nodeId: string): boolean {
    return this.#openConnection(nodeId)?.requestLoad() ?? false;
  }

  async connect(
    address: SocketAddress,
    timeoutMilliseconds: number,
  ): Promise<Result<NodeIdentity, ControlCallError>> {
    const connection = await this.#dial(address, timeoutMilliseconds);
    return connection.ok ? succeed(connection.value.identity) : connection;
  }

  /** Sends a request to a node. Without a connection it is refused as `not-sent`. */
  async execute(
    nodeId: string,
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<ExecutionOutcome> {
    const open = this.#openConnection(nodeId);
    if (open !== undefined) return open.execute(head, body, signal);
    const connection = await this.#connectionTo(nodeId);
    if (!connection.ok) return { type: 'refused', reason: 'not-sent', report: undefined };
    return connection.value.execute(head, body, signal);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#disposed = true;
    clearInterval(this.#ticker);
    for (const socket of this.#handshakes) socket.destroy();
    const closing = [...this.#all].map((connection) => connection[Symbol.asyncDispose]());
    await Promise.all(closing);
    const server = this.#server;
    if (server === undefined || !server.listening) return;
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  }

  #openConnection(nodeId: string): PeerConnection | undefined {
    const connection = this.#connections.get(nodeId);
    if (connection === undefined || connection.closed || connection.silent) return undefined;
    return connection;
  }

  async #connectionTo(nodeId: string): Promise<Result<PeerConnection, ControlCallError>> {
    const open = this.#openConnection(nodeId);
    if (open !== undefined) return succeed(open);
    const pending = this.#dialling.get(nodeId);
    if (pending !== undefined) return pending;
    const address = this.#options.addressOf(nodeId);
    if (address === undefined) {
      return fail({ type: 'unreachable', detail: `the address of node "${nodeId}" is not known` });
    }
    const dialling = this.#dialNode(nodeId, address);
    this.#dialling.set(nodeId, dialling);
    try {
      return await dialling;
    } finally {
      this.#dialling.delete(nodeId);
    }
  }

  /** Dials the address of a node and checks that this very node answers there. */
  async #dialNode(
    nodeId: string,
    address: SocketAddress,
  ): Promise<Result<PeerConnection, ControlCallError>> {
    const connection = await this.#dial(address, dialTimeoutMilliseconds);
    if (!connection.ok || connection.value.identity.nodeId === nodeId) return connection;
    const found = connection.value.identity.nodeId;
    const detail = `node "${found}" answers at the address of node "${nodeId}"`;
    return fail({ type: 'unreachable', detail });
  }

  async #dial(
    address: SocketAddress,
    timeoutMilliseconds: number,
  ): Promise<Result<PeerConnection, ControlCallError>> {
    if (this.#disposed) return fail({ type: 'unreachable', detail: 'this node is stopping' });
    const socket = await openSocket(address, timeoutMilliseconds);
    if (!socket.ok) return socket;
    const frames = new FrameSocket(socket.value);
    const { endpoint, clock } = this.#options;
    const handshake = await dialHandshake(frames, endpoint, clock);
    if (!handshake.ok) {
      frames.destroy();
      this.#logHandshakeFailure(`${address.host}:${address.port}`, handshake.error);
      return fail({ type: 'unreachable', detail: handshake.error.detail });
    }
    return succeed(this.#start(frames, handshake.value, true));
  }

  async #accept(socket: Socket): Promise<void> {
    if (this.#disposed || this.#handshakes.size >= maxPendingHandshakes) {
      socket.destroy();
      return;
    }
    const { account, clock, endpoint } = this.#options;
    const share = account?.open('peers', {
      isBusy: false,
      awaitsBody: false,
      close: () => socket.destroy(),
    });
    if (account !== undefined && share === undefined) {
      socket.destroy();
      return;
    }
    this.#handshakes.add(socket);
    const frames = new FrameSocket(socket, share);
    const handshake = await acceptHandshake(frames, endpoint, clock);
    this.#handshakes.delete(socket);
    if (handshake.ok) {
      this.#start(frames, handshake.value, false);
      return;
    }
    this.#logHandshakeFailure(frames.remoteAddress, handshake.error);
    frames.end();
  }

  #start(socket: FrameSocket, introduction: PeerIntroduction, dialled: boolean): PeerConnection {
    const { clock, endpoint, executor, logger } = this.#options;
    const connection = new PeerConnection({
      socket,
      introduction,
      dialled,
      distance: distanceBetween(endpoint.location, introduction.location),
      executor,
      handlers: this.#handlers,
      traffic: this.traffic,
      budget: this.#options.budget ?? unlimitedControlBudget,
      requestCallPrefix: this.#options.requestCallPrefix ?? noPrefix,
      liveness: this.#liveness,
      localLoad: () => this.#options.localLoad?.(),
      onLoad: (report) => this.#options.onLoad?.(introduction.identity.nodeId, report),
      waitsForSilentPeer: () => this.#options.waitsForSilentPeers?.() ?? false,
      onSilent: () => this.#options.onLost?.(introduction.identity.nodeId, 'silent'),
      clock,
      logger,
    });
    this.#register(connection);
    this.#options.introduced?.(introduction);
    this.#supervise(connection);
    return connection;
  }

  /**
   * Chooses the connection that is used with a node. Two nodes that dial each other at the same
   * moment both choose the one that was dialled by the node whose name comes first.
   */
  #register(connection: PeerConnection): void {
    const { nodeId, incarnation } = connection.identity;
    this.#all.add(connection);
    const existing = this.#openConnection(nodeId);
    const newer = existing === undefined || existing.identity.incarnation < incarnation;
    if (newer || this.#isPreferred(connection)) this.#connections.set(nodeId, connection);
  }

  #isPreferred({ dialled, identity }: PeerConnection): boolean {
    const ownFirst = this.#options.endpoint.identity.nodeId < identity.nodeId;
    return dialled === ownFirst;
  }

  async #supervise(connection: PeerConnection): Promise<void> {
    const { nodeId } = connection.identity;
    const reason = await connection.run();
    this.#all.delete(connection);
    if (this.#connections.get(nodeId) === connection) {
      const other = [...this.#all].find((candidate) => candidate.identity.nodeId === nodeId);
      if (other === undefined) {
        this.#connections.delete(nodeId);
        if (!this.#disposed) this.#options.onLost?.(nodeId, reason);
      } else {
        this.#connections.set(nodeId, other);
      }
    }
    if (!this.#disposed) {
      this.#options.logger.info('peer-disconnected', 'connection with a peer ended', {
        peer: nodeId,
        reason,
      });
    }
  }

  #logHandshakeFailure(address: string, error: HandshakeError): void {
    if (this.#disposed) return;
    this.#options.logger.warn('peer-handshake-failed', 'a connection with a peer was not set up', {
      address,
      reason: error.detail,
    });
  }

  #tick(): void {
    for (const connection of this.#all) {
      connection.tick();
      if (this.#isSpare(connection)) connection[Symbol.asyncDispose]();
    }
  }

  /** A second connection with a node, which neither side uses any more. */
  #isSpare(connection: PeerConnection): boolean {
    if (!connection.dialled || connection.outstanding > 0) return false;
    if (this.#connections.get(connection.identity.nodeId) === connection) return false;
    return connection.silentMilliseconds > spareMilliseconds;
  }
}
