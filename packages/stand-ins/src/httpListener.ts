import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';

/** Where a stand-in listens. Port 0 takes a free port. */
export interface ListenOptions {
  readonly host?: string;
  readonly port?: number;
}

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/**
 * Starts an HTTP server. Stand-ins use `node:http` without a framework, because their faults
 * (lost, half and doubled answers) need the socket.
 */
export async function listenHttp(handler: Handler, options: ListenOptions = {}): Promise<Server> {
  const server = createServer((request, response) => {
    handler(request, response).catch(() => response.destroy());
  });
  // Callers keep their connections open between measurements, so idle ones are not closed early.
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port ?? 0, options.host ?? '127.0.0.1', resolve);
  });
  return server;
}

/** Gives the base address of a listening server. */
export function urlOf(server: Server): string {
  const { address, port } = server.address() as AddressInfo;
  return `http://${address}:${port}`;
}

/** Stops listening and closes all connections at once. */
export async function closeHttp(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, value: unknown, status = 200): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Reads a request body as JSON; an empty body is an empty object. */
export async function readJson(request: IncomingMessage): Promise<Record<string, unknown>> {
  const body = await text(request);
  const value: unknown = body === '' ? {} : JSON.parse(body);
  if (typeof value === 'object' && value !== null) return { ...value };
  throw new Error(`reading a request body: expected a JSON object, got ${body}`);
}
