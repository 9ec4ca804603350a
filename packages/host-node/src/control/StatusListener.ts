import type { Result, SocketAddress } from '@hickorybridge/types';
import { ListenerOpener, type ListenError } from '@hickorybridge/utils';
import { createServer, type Server } from 'node:http';

/** Returns the status code and the text of the response for one path. */
export type StatusPage = () => { readonly status: number; readonly text: string };

const keepAliveMilliseconds = 60_000;

/** Serves status pages by their path, for readiness probes and metrics. */
export class StatusListener implements AsyncDisposable {
  readonly #server: Server;

  constructor(pages: ReadonlyMap<string, StatusPage>) {
    this.#server = createServer((request, response) => {
      request.resume();
      const page = pages.get((request.url ?? '').split('?', 1)[0] ?? '');
      const { status, text } = page?.() ?? { status: 404, text: 'no such page\n' };
      response.writeHead(status, {
        'content-type': 'text/plain; charset=utf-8',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
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
}
