import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

const connectTimeoutMilliseconds = 1000;
// Used when a backend server does not say how long it keeps a connection, in milliseconds.
const defaultIdleTimeoutMilliseconds = 4000;
// Time by which a connection is closed before the backend server would close it.
const idleMarginMilliseconds = 1000;

/**
 * Keeps connections with one backend server. The most recently used one is used first, because the
 * backend server is least likely to have closed it.
 */
export class ConnectionAgent extends Agent {
  constructor(maxConnections: number) {
    super({ keepAlive: true, maxSockets: maxConnections, scheduling: 'lifo', noDelay: true });
  }

  override createConnection(
    ...parameters: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(...parameters) as Socket;
    const timer = setTimeout(
      () => socket.destroy(new Error(`no connection within ${connectTimeoutMilliseconds} ms`)),
      connectTimeoutMilliseconds,
    );
    socket.once('connect', () => clearTimeout(timer));
    socket.once('close', () => clearTimeout(timer));
    return socket;
  }

  /** Watches an idle connection: bytes that come on it belong to no request. */
  override keepSocketAlive(socket: Socket): boolean {
    // Node.js expects whether the connection is kept, though its types say that nothing is returned.
    const kept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!kept) return false;
    socket.on('data', destroyOnData);
    const advertisedTimeout = socket.timeout ?? 0;
    const idleTimeout = advertisedTimeout > 0 ? advertisedTimeout : defaultIdleTimeoutMilliseconds;
    socket.setTimeout(Math.max(idleTimeout - idleMarginMilliseconds, idleMarginMilliseconds));
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off('data', destroyOnData);
    super.reuseSocket(socket, request);
  }
}

function destroyOnData(this: Socket): void {
  this.destroy();
}
