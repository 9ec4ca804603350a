import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  closeHttp,
  listenHttp,
  readJson,
  sendJson,
  urlOf,
  type ListenOptions,
} from '../httpListener.js';

/** An object as the platform's store keeps it. */
interface PlatformObject {
  metadata: { name: string; rev: number };
  spec: unknown;
}

interface Event {
  readonly kind: string;
  readonly rev: number;
  readonly deleted: boolean;
  readonly object: PlatformObject;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** Faults of the stand-in. */
export interface ObjectStoreFaults {
  /** Status that every call gets; nothing is done. */
  refuseWith: number | undefined;
  /** Closes every connection without an answer. */
  down: boolean;
  /** Never answers watches that need current data, as on a connection that went silent. */
  silentWatches: boolean;
  /** Number of next writes that take effect but are not answered. */
  loseWriteAnswers: number;
  /** How long a write takes, in milliseconds. */
  writeMilliseconds: number;
  /** Age of what watches deliver that accept stale data, in milliseconds. */
  staleMilliseconds: number;
  /** What lists and watches show that accept stale data; the present state if absent. */
  staleCopy: ObjectStoreCopy | undefined;
}

/** What the stand-in holds at one moment. */
export interface ObjectStoreCopy {
  readonly objects: ReadonlyMap<string, PlatformObject>;
  readonly revision: number;
}

const objectPath = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+))?$/;
const pageSize = 50;
const stalePollMilliseconds = 50;

/** Stand-in for the platform's object store, as its published protocol describes it. */
export class StandInObjectStore implements AsyncDisposable {
  readonly faults: ObjectStoreFaults = {
    refuseWith: undefined,
    down: false,
    silentWatches: false,
    loseWriteAnswers: 0,
    writeMilliseconds: 0,
    staleMilliseconds: 0,
    staleCopy: undefined,
  };

  calls = 0;

  /** Watches that needed current data, which cost ten times as much as those that may be stale. */
  currentWatches = 0;

  readonly #objects = new Map<string, PlatformObject>();

  #events: Event[] = [];

  #revision = 1;

  #era = 1;

  /** Watches from before this revision get 410. */
  #historyFrom = 0;

  readonly #waiting = new Set<() => void>();

  readonly #connections = new Set<Socket>();

  readonly #silentConnections = new WeakSet<Socket>();

  #server: Server | undefined;

  get port(): number {
    if (this.#server === undefined) throw new Error('the stand-in store is not started');
    return Number(new URL(urlOf(this.#server)).port);
  }

  get listening(): boolean {
    return this.#server !== undefined;
  }

  async start(options: ListenOptions = {}): Promise<void> {
    this.#server = await listenHttp(
      (request, response) => this.#handle(request, response),
      options,
    );
  }

  /** Closes the listener and all connections; the objects stay for the next start. */
  async stop(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server !== undefined) await closeHttp(server);
  }

  /** Writes an object as the operator does. */
  put(kind: string, name: string, spec: unknown): void {
    this.#revision += 1;
    const object = { metadata: { name, rev: this.#revision }, spec };
    this.#objects.set(`${kind}/${name}`, object);
    this.#publish({ kind, rev: this.#revision, deleted: false, object });
  }

  /** Removes an object as the operator does. */
  remove(kind: string, name: string): void {
    const key = `${kind}/${name}`;
    this.#remove(kind, key, this.#objects.get(key));
  }

  specOf(kind: string, name: string): unknown {
    return this.#objects.get(`${kind}/${name}`)?.spec;
  }

  /** Forgets all history, as the store may at any time. */
  compact(): void {
    this.#events = [];
    this.#historyFrom = this.#revision;
    for (const wake of this.#waiting) wake();
  }

  /** Copies what the stand-in holds, for `restore`. */
  copy(): ObjectStoreCopy {
    return { objects: new Map(this.#objects), revision: this.#revision };
  }

  /** Goes back to an earlier copy, as after a loss of data. Revisions are assigned again. */
  restore({ objects, revision }: ObjectStoreCopy): void {
    this.#era += 1;
    this.#objects.clear();
    for (const [key, object] of objects) this.#objects.set(key, object);
    this.#revision = revision;
    this.compact();
  }

  /** Answers nothing more on the connections that are open, which stay open. */
  silenceConnections(): void {
    for (const connection of this.#connections) this.#silentConnections.add(connection);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.stop();
  }

  #publish(event: Omit<Event, 'at'>): void {
    this.#events.push({ ...event, at: performance.now() });
    for (const wake of this.#waiting) wake();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.calls += 1;
    response.setHeader('store-era', String(this.#era));
    this.#connections.add(request.socket);
    request.socket.once('close', () => this.#connections.delete(request.socket));
    if (this.#silentConnections.has(request.socket)) return;
    if (this.faults.down) {
      response.destroy();
      return;
    }
    if (this.faults.refuseWith !== undefined) {
      sendJson(response, {}, this.faults.refuseWith);
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    const [, kind, encodedName] = objectPath.exec(url.pathname) ?? [];
    if (kind === undefined) {
      sendJson(response, {}, 404);
      return;
    }
    const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
    if (request.method === 'GET') await this.#read(kind, name, url, response);
    else await this.#write(kind, name, request, url, response);
  }

  async #read(
    kind: string,
    name: string | undefined,
    url: URL,
    response: ServerResponse,
  ): Promise<void> {
    if (name !== undefined) {
      const object = this.#objects.get(`${kind}/${name}`);
      sendJson(response, object ?? {}, object === undefined ? 404 : 200);
      return;
    }
    const watch = url.searchParams.get('watch');
    if (watch === null) this.#list(kind, url.searchParams, response);
    else await this.#watch(kind, Number(watch), url.searchParams, response);
  }

  #list(kind: string, parameters: URLSearchParams, response: ServerResponse): void {
    const after = parameters.get('after') ?? '';
    const { objects, revision } = this.#copyFor(parameters);
    const all = [...objects]
      .filter(([key, { metadata }]) => key.startsWith(`${kind}/`) && metadata.name > after)
      .map(([, object]) => object)
      .sort((first, second) => (first.metadata.name < second.metadata.name ? -1 : 1));
    const items = all.slice(0, pageSize);
    sendJson(response, { items, has_more: all.length > pageSize, at: revision });
  }

  /** What a call sees, which may accept stale data. */
  #copyFor(parameters: URLSearchParams): ObjectStoreCopy {
    const stale = parameters.has('allow_stale') ? this.faults.staleCopy : undefined;
    return stale ?? { objects: this.#objects, revision: this.#revision };
  }

  async #watch(
    kind: string,
    revision: number,
    parameters: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    if (!parameters.has('allow_stale')) this.currentWatches += 1;
    const { staleMilliseconds } = this.faults;
    const age = parameters.has('allow_stale') ? staleMilliseconds : 0;
    const since = () =>
      this.#events.filter(
        ({ at, kind: eventKind, rev }) =>
          eventKind === kind &&
          rev > revision &&
          rev <= this.#copyFor(parameters).revision &&
          at <= performance.now() - age,
      );
    const endsAt = performance.now() + Number(parameters.get('wait_ms'));
    while (since().length === 0 && !this.#isGone(revision) && performance.now() < endsAt) {
      await this.#sleep(
        Math.min(endsAt - performance.now(), age > 0 ? stalePollMilliseconds : Infinity),
      );
    }
    if (response.socket !== null && this.#silentConnections.has(response.socket)) return;
    if (this.faults.silentWatches && parameters.get('allow_stale') !== '1') return;
    if (this.#isGone(revision)) {
      sendJson(response, {}, 410);
      return;
    }
    const events = since().map(({ deleted, object }) => ({ deleted, object }));
    sendJson(response, { events, at: this.#copyFor(parameters).revision });
  }

  /** Whether no watch can continue from a revision: its history is dropped, or a restore undid it. */
  #isGone(revision: number): boolean {
    return revision < this.#historyFrom || revision > this.#revision;
  }

  async #sleep(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = () => {
        this.#waiting.delete(wake);
        resolve();
      };
      this.#waiting.add(wake);
      setTimeout(wake, milliseconds).unref();
    });
  }

  async #write(
    kind: string,
    named: string | undefined,
    request: IncomingMessage,
    url: URL,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readJson(request)) as {
      metadata?: { name?: string; rev?: number };
      spec?: unknown;
    };
    const name = named ?? body.metadata?.name ?? '';
    const key = `${kind}/${name}`;
    if (this.faults.writeMilliseconds > 0) await sleep(this.faults.writeMilliseconds);
    const current = this.#objects.get(key);
    const expected = body.metadata?.rev ?? Number(url.searchParams.get('rev') ?? Number.NaN);
    const conflicts =
      request.method === 'POST'
        ? current !== undefined
        : !Number.isNaN(expected) && current?.metadata.rev !== expected;
    if (request.method !== 'POST' && current === undefined) {
      sendJson(response, {}, 404);
      return;
    }
    if (conflicts) {
      sendJson(response, current, 409);
      return;
    }
    if (request.method === 'DELETE') this.#remove(kind, key, current);
    else this.put(kind, name, body.spec);
    if (this.faults.loseWriteAnswers > 0) {
      this.faults.loseWriteAnswers -= 1;
      response.destroy();
      return;
    }
    sendJson(response, this.#objects.get(key) ?? {});
  }

  #remove(kind: string, key: string, current: PlatformObject | undefined): void {
    if (current === undefined) return;
    this.#revision += 1;
    this.#objects.delete(key);
    this.#publish({ kind, rev: this.#revision, deleted: true, object: current });
  }
}
