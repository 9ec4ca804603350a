import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/**
 * The responses of each connection that wait until earlier ones are sent. Node.js emits `close` only
 * for the response that is being sent, so this class emits it for the others when a connection ends.
 */
export class PipelinedResponses {
  readonly #waiting = new WeakMap<Duplex, Set<ServerResponse>>();

  /** Number of responses of a connection that wait. */
  countOf(socket: Duplex): number {
    return this.#waiting.get(socket)?.size ?? 0;
  }

  /** Adds a response that has no connection of its own yet. */
  add(response: ServerResponse): void {
    const { socket } = response.req;
    const waiting = this.#waiting.get(socket) ?? this.#track(socket);
    waiting.add(response);
    response.once('socket', () => waiting.delete(response));
  }

  #track(socket: Duplex): Set<ServerResponse> {
    const waiting = new Set<ServerResponse>();
    this.#waiting.set(socket, waiting);
    socket.once('close', () => {
      for (const response of waiting) response.emit('close');
    });
    return waiting;
  }
}
