import type { ConnectionAccount } from '@hickorybridge/utils';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import { LimitedConnection } from './LimitedConnection.js';

export interface LimitConnectionsOptions {
  readonly account: ConnectionAccount;
  /** Name of the listener in the account. */
  readonly listener: string;
  /** Bytes that may come on a connection without beginning a request. */
  readonly maxHeadBytes: () => number;
}

/** Puts a {@link LimitedConnection} between each socket that a server accepts and the server. */
export function limitConnections(server: Server, options: LimitConnectionsOptions): void {
  const { account, listener, maxHeadBytes } = options;
  const serve = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    const connection = new LimitedConnection({
      socket,
      maxHeadBytes,
      onHeadTooLarge: (rejected) => {
        const error = new Error('the head, or what precedes it, is larger than allowed');
        server.emit('clientError', Object.assign(error, { code: 'HPE_HEADER_OVERFLOW' }), rejected);
      },
    });
    const share = account.open(listener, connection);
    // The account may close a new connection at once when the others hold all of its memory.
    if (share === undefined || connection.destroyed) {
      connection.destroy();
      return;
    }
    connection.share = share;
    for (const listen of serve) listen.call(server, connection);
  });
  server.prependListener('request', (request, response) => {
    const { socket }: { socket: unknown } = request;
    if (socket instanceof LimitedConnection) socket.addRequest(request, response);
  });
}
