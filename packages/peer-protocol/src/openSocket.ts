import {
  fail,
  succeed,
  type ControlCallError,
  type Result,
  type SocketAddress,
} from '@hickorybridge/types';
import { createConnection, type Socket } from 'node:net';

/** Connects to an address within a time limit. */
export async function openSocket(
  address: SocketAddress,
  timeoutMilliseconds: number,
): Promise<Result<Socket, ControlCallError>> {
  return new Promise((resolve) => {
    let socket: Socket;
    try {
      socket = createConnection({ host: address.host, port: address.port });
    } catch (error) {
      // Node.js throws when the port is out of range.
      resolve(fail({ type: 'unreachable', detail: String(error) }));
      return;
    }
    const timer = setTimeout(
      () => socket.destroy(new Error(`no connection within ${timeoutMilliseconds} ms`)),
      timeoutMilliseconds,
    );
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(succeed(socket));
    });
    socket.once('error', (error) => {
      clearTimeout(timer);
      resolve(fail({ type: 'unreachable', detail: error.message }));
    });
  });
}
