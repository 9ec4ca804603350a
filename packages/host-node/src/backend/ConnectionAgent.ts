import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

const connectTimeoutMilliseconds = 1000;
// Used when a backend server does not state its keep-alive timeout.
const defaultIdleTimeoutMilliseconds = 4000;
// An idle connection is closed this long before the backend server would close it.
const idleMarginMilliseconds = 1000;

/**
 * Pools the connections to one backend server. The most recently used connection is reused first,
 * because the backend server is least likely to have closed it.
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

  /** Closes an idle connection that receives data, because the data belongs to no request. */
  override keepSocketAlive(socket: Socket): boolean {
    // Node.js expects a boolean that tells whether to keep the socket, but its types declare void.
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
