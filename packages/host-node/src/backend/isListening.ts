import type { SocketAddress } from '@hickorybridge/types';
import { connect } from 'node:net';

const timeoutMilliseconds = 500;

/** Whether a process listens at an address. An address that does not react counts as listening. */
export function isListening({ host, port }: SocketAddress): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, host);
    socket.setTimeout(timeoutMilliseconds);
    const settle = (listening: boolean) => {
      resolve(listening);
      socket.destroy();
    };
    socket.once('connect', () => settle(true));
    socket.once('timeout', () => settle(true));
    socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code !== 'ECONNREFUSED'));
  });
}
