import { createServer, type Server, type ServerOptions } from 'node:http';

/**
 * Creates an HTTP server that leaves its connections open when it stops listening. Node.js would
 * close those that it takes for idle, with the unsent end of an answer or with an unread request.
 */
export function createCallersServer(options: ServerOptions): Server {
  return Object.assign(createServer(options), { closeIdleConnections: () => {} });
}
