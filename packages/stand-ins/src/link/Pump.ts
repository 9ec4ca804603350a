import { once } from 'node:events';
import type { Socket } from 'node:net';
import type { Direction } from './Direction.js';

/** Data that may be under way on one connection before its source is paused, in bytes. */
const maximumBytesUnderWay = 1024 * 1024;

/** Sends everything that arrives at one socket through a direction to another socket. */
export class Pump {
  readonly #source: Socket;

  readonly #target: Socket;

  #underWay = 0;

  #tail: Promise<void> = Promise.resolve();

  constructor(source: Socket, target: Socket) {
    this.#source = source;
    this.#target = target;
    source.on('error', () => {});
  }

  /** Ends when the source has ended and everything has arrived. */
  async run(chooseDirection: (chunk: Buffer) => Direction): Promise<void> {
    let direction = chooseDirection(Buffer.alloc(0));
    try {
      for await (const chunk of this.#source as AsyncIterable<Buffer>) {
        direction = chooseDirection(chunk);
        await this.#forward(chunk, direction);
      }
      await this.#deliver(direction, performance.now(), () => this.#target.end());
    } catch {
      await this.#deliver(direction, performance.now(), () => this.#target.destroy());
    }
  }

  async #forward(chunk: Buffer, direction: Direction): Promise<void> {
    const arrival = await direction.transmit(chunk.length);
    this.#underWay += chunk.length;
    const delivered = this.#deliver(direction, arrival, async () => {
      this.#underWay -= chunk.length;
      if (!this.#target.destroyed && !this.#target.write(chunk)) await drained(this.#target);
    });
    if (this.#underWay > maximumBytesUnderWay) await delivered;
  }

  /** Steps are taken in the order in which they were added. */
  #deliver(direction: Direction, arrival: number, step: () => unknown): Promise<void> {
    this.#tail = this.#tail.then(async () => {
      await direction.arrive(arrival);
      await step();
    });
    return this.#tail;
  }
}

async function drained(socket: Socket): Promise<void> {
  const stop = new AbortController();
  socket.once('close', () => stop.abort());
  try {
    await once(socket, 'drain', { signal: stop.signal });
  } catch {
    // The socket was closed, so nothing is left to wait for.
  }
}
