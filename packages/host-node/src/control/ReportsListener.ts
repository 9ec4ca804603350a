import type { Logger } from '@hickorybridge/logger';
import { decodeLeaveStart, decodeReport, matchReportCall } from '@hickorybridge/platform';
import type { Result, SocketAddress } from '@hickorybridge/types';
import { ListenerOpener, type ConnectionAccount, type ListenError } from '@hickorybridge/utils';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import type { BackendServerRegistry } from '../backend/BackendServerRegistry.js';
import { ChunkCoalescer } from '../callers/ChunkCoalescer.js';
import { limitConnections } from '../callers/limitConnections.js';

const maxBodyBytes = 64 * 1024;
// The backend server sends a report every 1 to 2 s and reuses its connection.
const keepAliveMilliseconds = 60_000;
/** A report is sent at once; the defaults of Node.js are 60 s and 300 s. */
const headTimeoutMilliseconds = 5000;
const requestTimeoutMilliseconds = 10_000;
const maxHeadBytes = 16 * 1024;

export interface ReportsListenerOptions {
  readonly registry: Pick<BackendServerRegistry, 'handleLeave' | 'handleReport'>;
  /**
   * Waits until the store or a peer knows of a leave, for a limited time. Its acknowledgement also
   * binds the node that runs here after this one, which may get a late report.
   */
  readonly waitUntilRecorded: () => Promise<void>;
  readonly account: ConnectionAccount;
  readonly logger: Logger;
}

/** Receives the reports of the backend server on this host. */
export class ReportsListener implements AsyncDisposable {
  readonly #options: ReportsListenerOptions;

  readonly #server: Server;

  constructor(options: ReportsListenerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => this.#handle(request, response));
    this.#server.headersTimeout = headTimeoutMilliseconds;
    this.#server.requestTimeout = requestTimeoutMilliseconds;
    this.#server.on('clientError', (_error, socket) => socket.destroy());
    limitConnections(this.#server, {
      account: options.account,
      listener: 'reports',
      maxHeadBytes: () => maxHeadBytes,
    });
    this.#server.keepAliveTimeout = keepAliveMilliseconds;
  }

  async listen(
    address: SocketAddress,
    opener = ListenerOpener.withoutRetry(),
  ): Promise<Result<SocketAddress, ListenError>> {
    return opener.open(this.#server, address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { logger, registry, waitUntilRecorded } = this.#options;
    const call = request.method === 'POST' ? matchReportCall(request.url ?? '') : undefined;
    if (call === undefined) {
      request.resume();
      respond(response, 404);
      return;
    }
    const body = await readBody(request);
    if (body === undefined) {
      respond(response, 400);
      return;
    }
    if (call.type === 'leave') {
      registry.handleLeave(call.backendServerId, decodeLeaveStart(body));
      await waitUntilRecorded();
      respond(response, 200);
      return;
    }
    const report = decodeReport(call.backendServerId, body);
    if (report === undefined) {
      logger.warn('report-malformed', 'ignored a report that cannot be decoded', {
        backendServer: call.backendServerId,
      });
      respond(response, 400);
      return;
    }
    registry.handleReport(report);
    if (report.draining) await waitUntilRecorded();
    respond(response, 200);
  }
}

function respond(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': '2' });
  response.end('{}');
}

/** Reads a request body as text; `undefined` when it is too large or incomplete. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const parts: Buffer[] = [];
  const coalescer = new ChunkCoalescer((part) => parts.push(part));
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > maxBodyBytes) return undefined;
      coalescer.add(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  coalescer.flush();
  return Buffer.concat(parts).toString('utf8');
}
