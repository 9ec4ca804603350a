import type { Logger } from '@hickorybridge/logger';
import { decodeLeaveStart, decodeReport, matchReportCall } from '@hickorybridge/platform';
import type { SocketAddress } from '@hickorybridge/types';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import type { BackendServerRegistry } from '../backend/BackendServerRegistry.js';
import { listen } from '../listen.js';

const maxBodyBytes = 64 * 1024;
// Reports come every second or two on a kept connection.
const keepAliveMilliseconds = 60_000;

/** Takes the reports of the backend server beside this node. */
export class ReportsListener implements AsyncDisposable {
  readonly #registry: BackendServerRegistry;

  readonly #logger: Logger;

  readonly #server: Server;

  constructor(registry: BackendServerRegistry, logger: Logger) {
    this.#registry = registry;
    this.#logger = logger;
    this.#server = createServer((request, response) => this.#handle(request, response));
    this.#server.keepAliveTimeout = keepAliveMilliseconds;
  }

  async listen(address: SocketAddress): Promise<void> {
    await listen(this.#server, address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = request.method === 'POST' ? matchReportCall(request.url ?? '') : undefined;
    if (call === undefined) {
      request.resume();
      answer(response, 404);
      return;
    }
    const body = await readText(request);
    if (body === undefined) {
      answer(response, 400);
      return;
    }
    if (call.type === 'leave') {
      this.#registry.handleLeave(call.backendServerId, decodeLeaveStart(body));
      answer(response, 200);
      return;
    }
    const report = decodeReport(call.backendServerId, body);
    if (report === undefined) {
      this.#logger.warn('report-malformed', 'a report cannot be read and names no backend server', {
        backendServer: call.backendServerId,
      });
      answer(response, 400);
      return;
    }
    this.#registry.handleReport(report);
    answer(response, 200);
  }
}

function answer(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': '2' });
  response.end('{}');
}

/** Reads a small body; `undefined` when it is too large or broke off. */
async function readText(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > maxBodyBytes) return undefined;
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString('utf8');
}
