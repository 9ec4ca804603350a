import type { RequestBody, StreamedBody } from '@hickorybridge/peer-protocol';
import type { RequestHead, SocketAddress } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import type { Readable } from 'node:stream';
import { Pool, type Dispatcher } from 'undici';

import { BackendServerExchange } from './BackendServerExchange.js';
import { createBackendServerHeaders } from './backendServerHeaders.js';

// An answer's body may take longer than the deadline, but not stand still longer than this.
const bodyIdleMilliseconds = 30_000;
const connectTimeoutMilliseconds = 500;

/** Kept connections to one backend server. */
export class BackendServerClient implements AsyncDisposable {
  readonly #pool: Pool;

  readonly #clock: Clock;

  constructor(address: SocketAddress, connections: number, clock: Clock) {
    this.#clock = clock;
    this.#pool = new Pool(`http://${address.host}:${address.port}`, {
      connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: bodyIdleMilliseconds,
      connect: { timeout: connectTimeoutMilliseconds },
    });
  }

  /** Starts to send a request. */
  send(head: RequestHead, body: RequestBody): BackendServerExchange {
    const exchange = new BackendServerExchange(head.deadline, this.#clock);
    const remaining = head.deadline - this.#clock.now();
    try {
      const options: Dispatcher.DispatchOptions = {
        method: head.method,
        path: head.target,
        headers: createBackendServerHeaders(head, remaining),
        body: bodyOf(body),
      };
      this.#pool.dispatch(options, exchange);
    } catch (error) {
      // The client refuses requests that it could not write, as those with malformed headers.
      exchange.onResponseError(null, error as Error);
    }
    return exchange;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.close();
  }
}

function takeStream(source: StreamedBody): Readable {
  const stream = source.take();
  if (stream === undefined) throw new Error('the body of the request is not available any more');
  return stream;
}

function bodyOf(body: RequestBody): Buffer | Readable | null {
  switch (body.type) {
    case 'none':
      return null;
    case 'buffered':
      return body.data;
    default:
      return takeStream(body.source);
  }
}
