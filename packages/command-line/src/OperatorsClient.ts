import { fail, succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';
import { match } from 'ts-pattern';
import { request } from 'undici';

/** Why a node gave no usable answer. */
export type OperatorsError =
  /** The connection was refused or could not be made: nothing listens there, or it is cut off. */
  | { readonly type: 'unreachable'; readonly detail: string }
  /** The node needs the shared key. */
  | { readonly type: 'unauthorized'; readonly detail: string }
  /** The node does not know what was asked for. */
  | { readonly type: 'not-found'; readonly detail: string }
  /** The answer is not what a node gives. */
  | { readonly type: 'malformed'; readonly detail: string };

/** The operators' listener of one node. */
export interface OperatorsClientOptions {
  /** Base address, as `http://127.0.0.1:8082`. */
  readonly url: string;
  /** Shared key; sent as a bearer token. */
  readonly key?: string | undefined;
  readonly timeoutMilliseconds: number;
}

/** Calls to the operators' listener of one node. Each uses a connection of its own. */
export class OperatorsClient {
  readonly #options: OperatorsClientOptions;

  constructor(options: OperatorsClientOptions) {
    this.#options = options;
  }

  get url(): string {
    return this.#options.url.replace(/\/+$/, '');
  }

  /** Gets a JSON value. A 503 answer counts as one, because `/ready` explains itself by it. */
  async getJson(path: string): Promise<Result<unknown, OperatorsError>> {
    const answer = await this.#send('GET', path);
    return answer.ok ? this.#parse(path, answer.value) : answer;
  }

  /** Gets a text. */
  async getText(path: string): Promise<Result<string, OperatorsError>> {
    return this.#send('GET', path);
  }

  /** Posts without a body and gives the JSON value of the answer. */
  async post(path: string): Promise<Result<unknown, OperatorsError>> {
    const answer = await this.#send('POST', path);
    return answer.ok ? this.#parse(path, answer.value) : answer;
  }

  async #send(method: 'GET' | 'POST', path: string): Promise<Result<string, OperatorsError>> {
    const { key, timeoutMilliseconds } = this.#options;
    const target = this.url + path;
    try {
      const answer = await request(target, {
        method,
        reset: true,
        headersTimeout: timeoutMilliseconds,
        bodyTimeout: timeoutMilliseconds,
        signal: AbortSignal.timeout(timeoutMilliseconds),
        headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
      });
      return judgeStatus(target, answer.statusCode, await answer.body.text());
    } catch (error) {
      return fail({ type: 'unreachable', detail: `${target}: ${describeError(error)}` });
    }
  }

  #parse(path: string, body: string): Result<unknown, OperatorsError> {
    try {
      return succeed(JSON.parse(body) as unknown);
    } catch {
      return fail({ type: 'malformed', detail: `${this.url}${path} did not answer with JSON` });
    }
  }
}

function judgeStatus(target: string, status: number, body: string): Result<string, OperatorsError> {
  return match<number, Result<string, OperatorsError>>(status)
    .with(200, 202, 503, () => succeed(body))
    .with(401, 403, () => {
      const detail = `${target} needs the shared key: add --key-file FILE`;
      return fail({ type: 'unauthorized', detail });
    })
    .with(404, () => fail({ type: 'not-found', detail: `${target} answered with status 404` }))
    .otherwise(() =>
      fail({ type: 'malformed', detail: `${target} answered with status ${status}` }),
    );
}

function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.name === 'TimeoutError' ? 'no answer in time' : error.message;
}
