import { getRequestListener } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import type { Result, SocketAddress } from '@hickorybridge/types';
import { ListenerOpener, type ListenError } from '@hickorybridge/utils';
import type { Hono } from 'hono';
import { createServer, type Server } from 'node:http';

// Bounds the memory and time that a slow or hostile caller can take.
const headersTimeoutMilliseconds = 10_000;
const keepAliveMilliseconds = 30_000;
const maxHeaderBytes = 16 * 1024;
const maxHeaders = 100;

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

  async listen(
    address: SocketAddress,
    opener = ListenerOpener.withoutRetry(),
  ): Promise<Result<SocketAddress, ListenError>> {
    return opener.open(this.#server, address);
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
