import { getRequestListener } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import { fail, succeed, type Result, type SocketAddress } from '@hickorybridge/types';
import type { Hono } from 'hono';
import { createServer, type Server } from 'node:http';

// Bounds the memory and time that a slow or hostile caller can take.
const headersTimeoutMilliseconds = 10_000;
const keepAliveMilliseconds = 30_000;
const maxHeaderBytes = 16 * 1024;
const maxHeaders = 100;

/** A listener could not be opened. */
export interface HttpListenError {
  readonly type: 'listen-failed';
  readonly detail: string;
}

/** Environment of handlers that work on the streams of Node.js themselves. */
export interface ListenerEnvironment {
  Bindings: HttpBindings;
}

/** An HTTP listener around a hono application. */
export class HttpListener implements AsyncDisposable {
  readonly #server: Server;

  constructor(application: Hono<ListenerEnvironment>, timeoutMilliseconds = 0) {
    const handle = getRequestListener(application.fetch, {
      overrideGlobalObjects: false,
      autoCleanupIncoming: false,
    });
    this.#server = createServer(
      { maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMilliseconds },
      handle,
    );
    this.#server.requestTimeout = timeoutMilliseconds;
    this.#server.keepAliveTimeout = keepAliveMilliseconds;
    this.#server.maxHeadersCount = maxHeaders;
  }

  async listen(address: SocketAddress): Promise<Result<SocketAddress, HttpListenError>> {
    const server = this.#server;
    return new Promise((resolve) => {
      server.once('error', (error) => {
        const detail = `cannot listen on ${address.host}:${address.port}: ${error.message}`;
        resolve(fail({ type: 'listen-failed', detail }));
      });
      server.listen(address.port, address.host, () => {
        const bound = server.address();
        const port = bound !== null && typeof bound === 'object' ? bound.port : address.port;
        resolve(succeed({ host: address.host, port }));
      });
    });
  }

  /** Stops listening and waits until open requests have ended; idle connections are closed. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (!this.#server.listening) return;
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Closes all connections, also those with open requests. */
  destroy(): void {
    this.#server.closeAllConnections();
  }
}
