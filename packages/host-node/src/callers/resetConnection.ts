import type { Socket } from 'node:net';

/**
 * Closes a connection by a reset, and drops what is not sent yet. `resetAndDestroy` alone waits until
 * that is sent, and a regular end after it, with which an answer without a length looks complete.
 */
export function resetConnection(socket: Socket): void {
  const socketWithoutEnd = Object.assign(socket, { end: () => socket });
  socketWithoutEnd.resetAndDestroy();
  socketWithoutEnd.destroy();
}
