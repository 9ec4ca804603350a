import type { ExecutionOutcome, RequestBody } from '@hickorybridge/peer-protocol';
import type { HeaderList, LoadReport, RequestHead, SocketAddress } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import type { Readable } from 'node:stream';
import { Pool, type Dispatcher } from 'undici';

import { HeaderName } from '../headerNames.js';
import { createBackendServerHeaders, withoutConnectionHeaders } from './backendServerHeaders.js';

// An answer's body may take longer than the deadline, but not stand still longer than this.
const bodyIdleMilliseconds = 30_000;
const connectTimeoutMilliseconds = 500;

/** Errors of undici that prove that no connection was there to send the request on. */
const notConnectedCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** How sending a request to a backend server ended, before the load report is added. */
export type BackendServerOutcome =
  | { readonly type: 'answered'; readonly answer: Dispatcher.ResponseData }
  | { readonly type: 'not-run'; readonly reason: 'connection-refused' | 'backend-server-shed' }
  | { readonly type: 'lost'; readonly detail: string };

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

  /** Sends a request. The signal cancels it by closing its connection. */
  async send(
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<BackendServerOutcome> {
    const remaining = head.deadline - this.#clock.now();
    try {
      const answer = await this.#pool.request({
        method: head.method,
        path: head.target,
        headers: createBackendServerHeaders(head, remaining),
        body: bodyOf(body),
        signal,
      });
      return isShed(answer) ? await discardShed(answer) : { type: 'answered', answer };
    } catch (error) {
      return describeFailure(error);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.close();
  }
}

/** Turns an answer of undici into the outcome that goes to the router. */
export function toExecutionOutcome(
  answer: Dispatcher.ResponseData,
  report: LoadReport,
): ExecutionOutcome {
  const head = { status: answer.statusCode, headers: toHeaderList(answer.headers) };
  return { type: 'answered', head, report, body: answer.body };
}

function bodyOf(body: RequestBody): Buffer | Readable | null {
  switch (body.type) {
    case 'none':
      return null;
    case 'buffered':
      return body.data;
    default:
      return body.stream;
  }
}

function isShed(answer: Dispatcher.ResponseData): boolean {
  return answer.statusCode === 503 && answer.headers[HeaderName.notRun] === 'true';
}

async function discardShed(answer: Dispatcher.ResponseData): Promise<BackendServerOutcome> {
  await answer.body.dump().catch(() => {});
  return { type: 'not-run', reason: 'backend-server-shed' };
}

function describeFailure(error: unknown): BackendServerOutcome {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  if (notConnectedCodes.has(code)) return { type: 'not-run', reason: 'connection-refused' };
  const detail = error instanceof Error ? error.message : String(error);
  return { type: 'lost', detail: `request to the backend server failed: ${detail}` };
}

function toHeaderList(headers: Record<string, string | string[] | undefined>): HeaderList {
  const list: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (Array.isArray(value)) for (const item of value) list.push(name, item);
    else if (value !== undefined) list.push(name, value);
  }
  return withoutConnectionHeaders(list);
}
