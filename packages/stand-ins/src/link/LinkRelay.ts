import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { SocketAddress } from '@hickorybridge/types';
import { Direction } from './Direction.js';
import type { DirectionSettings } from './Direction.js';
import { Pump } from './Pump.js';

/** Bytes at the start of a connection in which the name of a region is searched. */
const searchedBytes = 4_096;

/** The two ends of a link. */
export interface LinkRelayOptions {
  /** Names of the two regions. */
  readonly regions: readonly [string, string];
  readonly settings: DirectionSettings;
}

/** A listener of the relay and what is behind it. */
export interface RelayRoute {
  readonly target: SocketAddress;
  /** Region of the target. */
  readonly region: string;
  /**
   * Region from which all connections to this route come. When it is absent, the region that
   * the connecting side names in its first bytes counts, and connections from the target's own
   * region are passed on without delay.
   */
  readonly from?: string;
}

/** TCP relay that stands in for the link between two regions. */
export class LinkRelay implements AsyncDisposable {
  /** From the first region to the second. */
  readonly forth: Direction;

  /** From the second region to the first. */
  readonly back: Direction;

  readonly #regions: readonly [string, string];

  readonly #local = new Direction({ delayMilliseconds: 0, megabitsPerSecond: 0 });

  readonly #servers: Server[] = [];

  readonly #sockets = new Set<Socket>();

  constructor(options: LinkRelayOptions) {
    this.#regions = options.regions;
    this.forth = new Direction(options.settings);
    this.back = new Direction(options.settings);
  }

  /** Listens on a free loopback port for connections to a target. */
  async addRoute(route: RelayRoute): Promise<SocketAddress> {
    const server = createServer((socket) => this.#relay(socket, route));
    this.#servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, '127.0.0.1', resolve);
    });
    const { address, port } = server.address() as AddressInfo;
    return { host: address, port };
  }

  /** Cuts or heals both directions. */
  setCut(cut: boolean): void {
    this.forth.setCut(cut);
    this.back.setCut(cut);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    this.setCut(false);
    await Promise.all(this.#servers.map(closeServer));
  }

  #relay(incoming: Socket, route: RelayRoute): void {
    const outgoing = connect({ ...route.target, noDelay: true });
    incoming.setNoDelay(true);
    this.#track(incoming);
    this.#track(outgoing);
    let origin = route.from;
    let beginning = Buffer.alloc(0);
    const request = new Pump(incoming, outgoing).run((chunk) => {
      if (origin === undefined && beginning.length < searchedBytes) {
        beginning = Buffer.concat([beginning, chunk]);
        origin = this.#regions.find((region) => beginning.includes(region));
      }
      return this.#directionBetween(origin ?? route.region, route.region);
    });
    const answer = new Pump(outgoing, incoming).run(() =>
      this.#directionBetween(route.region, origin ?? route.region),
    );
    Promise.allSettled([request, answer]).catch(() => {});
  }

  #directionBetween(from: string, to: string): Direction {
    if (from === to) return this.#local;
    return from === this.#regions[0] ? this.forth : this.back;
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => this.#sockets.delete(socket));
  }
}

async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
}
