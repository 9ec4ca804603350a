import type { Socket } from 'node:net';

/**
 * Resets a connection and discards unsent data. `resetAndDestroy` alone first sends that data and
 * ends the connection normally, which makes an answer without a length look complete.
 */
export function resetConnection(socket: Socket): void {
  const socketWithoutEnd = Object.assign(socket, { end: () => socket });
  socketWithoutEnd.resetAndDestroy();
  socketWithoutEnd.destroy();
}
