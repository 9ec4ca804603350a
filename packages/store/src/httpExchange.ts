import { request } from 'undici';
import type { Agent } from 'undici';
import { fail, succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';

/** A call to the store, without the parts that are the same for all calls. */
export interface ExchangeRequest {
  readonly method: 'GET' | 'PUT';
  readonly target: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal | undefined;
}

/** A call to the store and how to send it. */
export interface ExchangeOptions extends ExchangeRequest {
  readonly url: string;
  readonly agent: Agent;
  readonly timeoutMilliseconds: number;
}

/** A complete answer of the store. */
export interface Exchange {
  readonly status: number;
  readonly entityTag: string | undefined;
  readonly body: string;
}

/** Sends one HTTP request and reads the whole answer within the time limit. */
export async function exchange(
  options: ExchangeOptions,
): Promise<Result<Exchange, { readonly detail: string }>> {
  const timeout = AbortSignal.timeout(options.timeoutMilliseconds);
  const signal =
    options.signal === undefined ? timeout : AbortSignal.any([timeout, options.signal]);
  try {
    const answer = await request(`${options.url}${options.target}`, {
      dispatcher: options.agent,
      method: options.method,
      headers: options.headers ?? {},
      body: options.body ?? null,
      // The signal alone limits the time; the limits of undici would cut long watches short.
      headersTimeout: 0,
      bodyTimeout: 0,
      signal,
    });
    const body = await answer.body.text();
    const { etag } = answer.headers;
    return succeed({
      status: answer.statusCode,
      entityTag: typeof etag === 'string' ? etag : undefined,
      body,
    });
  } catch (error) {
    if (timeout.aborted) {
      return fail({ detail: `no answer from ${options.url} in ${options.timeoutMilliseconds} ms` });
    }
    return fail({ detail: `${options.url}: ${describe(error)}` });
  }
}

function describe(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  if (error.message !== '') return error.message;
  return 'code' in error ? String(error.code) : error.name;
}
