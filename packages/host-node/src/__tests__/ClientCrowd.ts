import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import type { TestContext } from 'node:test';

import { host } from './fleet.js';

export interface CrowdOptions {
  readonly port: number;
  readonly connections: number;
  /** Sent once on each connection, or as often as `repeat` says. */
  readonly data: Buffer;
  /** Sent before `data`, once. */
  readonly first?: Buffer;
  /** How often `data` is sent; once by default. */
  readonly repeat?: number;
}

/** Raw connections that read no answers and stay open until the node closes them. */
export class ClientCrowd {
  readonly #sockets: Socket[] = [];

  /** Connections that took all of the data. */
  readonly #complete = new Set<Socket>();

  /** Number of connections that are open. */
  get open(): number {
    return this.#sockets.filter((socket) => !socket.destroyed).length;
  }

  get complete(): number {
    return this.#complete.size;
  }

  /** Number of connections that took all of the data and were neither answered nor closed. */
  get unanswered(): number {
    return [...this.#complete].filter((socket) => !socket.destroyed && socket.bytesRead === 0)
      .length;
  }

  /** Opens the connections one after another, and then sends on all of them at once. */
  static async start(t: TestContext, options: CrowdOptions): Promise<ClientCrowd> {
    const crowd = new ClientCrowd();
    t.after(() => crowd.close());
    for (let number = 0; number < options.connections; number += 1) {
      const socket = connect(options.port, host);
      socket.on('error', () => {});
      crowd.#sockets.push(socket);
      await Promise.race([once(socket, 'connect'), once(socket, 'close')]);
    }
    for (const socket of crowd.#sockets) crowd.#send(socket, options);
    return crowd;
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  async #send(socket: Socket, { data, first, repeat = 1 }: CrowdOptions): Promise<void> {
    if (first !== undefined) socket.write(first);
    for (let count = 0; count < repeat; count += 1) {
      if (socket.destroyed) return;
      if (socket.write(data)) continue;
      await new Promise<void>((resolve) => {
        socket.once('drain', resolve);
        socket.once('close', () => resolve());
      });
    }
    if (!socket.destroyed) this.#complete.add(socket);
  }
}
