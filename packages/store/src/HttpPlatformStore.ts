import { Agent } from 'undici';
import { fail, succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';
import { exchange } from './httpExchange.js';
import type { Exchange, ExchangeRequest } from './httpExchange.js';
import { parseObjects, parseVersion, parseWatchResult } from './storeAnswers.js';
import type {
  PlatformStore,
  StoredObject,
  StoreUnavailable,
  WatchResult,
  WriteOutcome,
} from './PlatformStore.js';

/** Where the store is and how long one call may take. */
export interface HttpPlatformStoreOptions {
  /** Base address, for example `http://127.0.0.1:7000`. */
  readonly url: string;
  /** Time limit of one call; a watch may take this long on top of its own waiting time. */
  readonly timeoutMilliseconds: number;
}

/** The platform's store over HTTP. No call is repeated; the caller decides about retries. */
export class HttpPlatformStore implements PlatformStore {
  readonly #url: string;

  readonly #timeoutMilliseconds: number;

  readonly #agent: Agent;

  constructor(options: HttpPlatformStoreOptions) {
    this.#url = options.url.replace(/\/+$/, '');
    this.#timeoutMilliseconds = options.timeoutMilliseconds;
    // A watch occupies its connection while it waits, so the connections are not limited.
    this.#agent = new Agent({ pipelining: 1, connect: { timeout: options.timeoutMilliseconds } });
  }

  async read(key: string): Promise<Result<StoredObject | undefined, StoreUnavailable>> {
    const answer = await this.#send({ method: 'GET', target: objectTarget(key) });
    if (!answer.ok) return unavailable(`reading ${key}`, answer.error.detail);
    const { status, body, entityTag } = answer.value;
    if (status === 404) return succeed(undefined);
    const version = parseVersion(entityTag);
    if (status === 200 && version !== undefined) return succeed({ key, value: body, version });
    return unavailable(`reading ${key}`, `unexpected answer with status ${status}`);
  }

  async writeConditional(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<WriteOutcome> {
    const answer = await this.#send({
      method: 'PUT',
      target: objectTarget(key),
      headers: conditionHeaders(expectedVersion),
      body: value,
    });
    if (!answer.ok) return { type: 'unknown', detail: `writing ${key}: ${answer.error.detail}` };
    return interpretWrite(key, answer.value);
  }

  async list(prefix: string): Promise<Result<readonly StoredObject[], StoreUnavailable>> {
    const target = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const answer = await this.#send({ method: 'GET', target });
    if (!answer.ok) return unavailable(`listing ${prefix}`, answer.error.detail);
    const objects = answer.value.status === 200 ? parseObjects(answer.value.body) : undefined;
    if (objects !== undefined) return succeed(objects);
    return unavailable(`listing ${prefix}`, `unexpected answer with status ${answer.value.status}`);
  }

  async watch(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResult, StoreUnavailable>> {
    const query = new URLSearchParams({
      prefix,
      after: String(afterRevision),
      wait: String(Math.max(0, Math.round(waitMilliseconds))),
    });
    const answer = await this.#send(
      { method: 'GET', target: `/watch?${query.toString()}`, signal },
      waitMilliseconds,
    );
    if (!answer.ok) return unavailable(`watching ${prefix}`, answer.error.detail);
    const result = answer.value.status === 200 ? parseWatchResult(answer.value.body) : undefined;
    if (result !== undefined) return succeed(result);
    return unavailable(
      `watching ${prefix}`,
      `unexpected answer with status ${answer.value.status}`,
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }

  #send(request: ExchangeRequest, extraMilliseconds = 0) {
    return exchange({
      ...request,
      url: this.#url,
      agent: this.#agent,
      timeoutMilliseconds: this.#timeoutMilliseconds + extraMilliseconds,
    });
  }
}

function objectTarget(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

function conditionHeaders(expectedVersion: number): Record<string, string> {
  if (expectedVersion === 0) return { 'if-none-match': '*' };
  return { 'if-match': `"${expectedVersion}"` };
}

/**
 * Only the statuses of the protocol decide a write. Any other status leaves open whether the
 * store, or something in front of it, has let the write through.
 */
function interpretWrite(key: string, answer: Exchange): WriteOutcome {
  const version = parseVersion(answer.entityTag);
  if (answer.status === 200 && version !== undefined) return { type: 'done', version };
  if (answer.status === 404) return { type: 'refused', current: undefined };
  if (answer.status === 412) {
    const current = version === undefined ? undefined : { key, value: answer.body, version };
    return { type: 'refused', current };
  }
  return { type: 'unknown', detail: `writing ${key}: unexpected status ${answer.status}` };
}

function unavailable(
  doing: string,
  detail: string,
): { readonly ok: false; readonly error: StoreUnavailable } {
  return fail({ type: 'store-unavailable', detail: `${doing}: ${detail}` });
}
