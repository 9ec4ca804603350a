import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { closeHttp, listenHttp, readJson, sendJson, urlOf } from '../httpListener.js';
import type { ListenOptions } from '../httpListener.js';
import { ObjectTable } from './objectTable.js';

/** Greatest size of a value, in bytes. */
const maximumValueBytes = 1024 * 1024;

/** Faults of the stand-in store; set in the process or by `PUT /faults`. */
export interface StoreFaults {
  /** Closes every connection without an answer. */
  down: boolean;
  /** Delay before a call takes effect, in milliseconds. */
  slowMilliseconds: number;
  /** Number of next writes that take effect but are not answered. */
  loseWriteAnswers: number;
}

/** Calls since the start. A waiting watch counts as one call. */
export interface StoreCalls {
  calls: number;
  reads: number;
  writes: number;
  watches: number;
  waitingWatches: number;
}

/** Stand-in for the platform's store: objects in memory behind the store's HTTP protocol. */
export class StandInStore implements AsyncDisposable {
  readonly faults: StoreFaults = { down: false, slowMilliseconds: 0, loseWriteAnswers: 0 };

  readonly calls: StoreCalls = { calls: 0, reads: 0, writes: 0, watches: 0, waitingWatches: 0 };

  readonly objects = new ObjectTable();

  readonly #waiting = new Set<() => void>();

  #server: Server | undefined;

  /** Starts a store on a loopback address. */
  static async start(options: ListenOptions = {}): Promise<StandInStore> {
    const store = new StandInStore();
    store.#server = await listenHttp((request, response) => store.#handle(request, response), {
      ...options,
    });
    return store;
  }

  get url(): string {
    if (this.#server === undefined) throw new Error('the stand-in store is not listening');
    return urlOf(this.#server);
  }

  /** Changes some faults; going down ends all waiting watches. */
  setFaults(changes: Partial<StoreFaults>): void {
    Object.assign(this.faults, changes);
    if (this.faults.down) this.#wakeWatches();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.faults.down = true;
    this.#wakeWatches();
    if (this.#server !== undefined) await closeHttp(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    if (url.pathname === '/faults') {
      if (request.method === 'PUT') this.setFaults(await readJson(request));
      sendJson(response, this.faults);
      return;
    }
    if (url.pathname === '/calls') {
      sendJson(response, this.calls);
      return;
    }
    if (this.faults.down) {
      request.socket.destroy();
      return;
    }
    this.calls.calls += 1;
    await this.#handleCall(url, request, response);
  }

  async #handleCall(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await text(request);
    if (this.faults.slowMilliseconds > 0) await sleep(this.faults.slowMilliseconds);
    if (url.pathname === '/watch') {
      await this.#watch(url, response);
      return;
    }
    if (url.pathname === '/objects') {
      this.calls.reads += 1;
      sendJson(response, this.objects.changedSince(url.searchParams.get('prefix') ?? '', 0));
      return;
    }
    const key = decodeURIComponent(url.pathname.replace(/^\/objects\//, ''));
    if (!url.pathname.startsWith('/objects/') || key === '') {
      response.writeHead(404).end();
      return;
    }
    if (request.method === 'PUT') this.#write(key, body, request, response);
    else this.#read(key, response);
  }

  #read(key: string, response: ServerResponse): void {
    this.calls.reads += 1;
    const object = this.objects.read(key);
    if (object === undefined) response.writeHead(404).end();
    else response.writeHead(200, { etag: `"${object.version}"` }).end(object.value);
  }

  #write(key: string, value: string, request: IncomingMessage, response: ServerResponse): void {
    this.calls.writes += 1;
    if (Buffer.byteLength(value) > maximumValueBytes) {
      response.writeHead(413).end();
      return;
    }
    const outcome = this.objects.write(key, value, expectedVersion(request));
    if (outcome.type === 'refused') {
      if (outcome.current === undefined) response.writeHead(404).end();
      else {
        const { version, value: current } = outcome.current;
        response.writeHead(412, { etag: `"${version}"` }).end(current);
      }
      return;
    }
    this.#wakeWatches();
    if (this.faults.loseWriteAnswers > 0) {
      this.faults.loseWriteAnswers -= 1;
      request.socket.destroy();
      return;
    }
    if (outcome.type === 'done') response.writeHead(200, { etag: `"${outcome.version}"` }).end();
  }

  async #watch(url: URL, response: ServerResponse): Promise<void> {
    this.calls.watches += 1;
    const prefix = url.searchParams.get('prefix') ?? '';
    const asked = Number(url.searchParams.get('after') ?? '0');
    // A revision from before a restart of this store would never be reached again.
    const after = asked > this.objects.revision ? 0 : asked;
    const end = performance.now() + Number(url.searchParams.get('wait') ?? '0');
    this.calls.waitingWatches += 1;
    try {
      while (this.objects.changedSince(prefix, after).length === 0 && !response.destroyed) {
        const remaining = end - performance.now();
        if (remaining <= 0 || this.faults.down) break;
        await this.#nextWrite(remaining, response);
      }
    } finally {
      this.calls.waitingWatches -= 1;
    }
    if (this.faults.down) {
      response.destroy();
      return;
    }
    const { revision } = this.objects;
    sendJson(response, { revision, changed: this.objects.changedSince(prefix, after) });
  }

  async #nextWrite(limitMilliseconds: number, response: ServerResponse): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(finish, limitMilliseconds);
      const waiting = this.#waiting;
      function finish() {
        clearTimeout(timer);
        waiting.delete(finish);
        response.off('close', finish);
        resolve();
      }
      waiting.add(finish);
      response.once('close', finish);
    });
  }

  #wakeWatches(): void {
    for (const wake of [...this.#waiting]) wake();
  }
}

function expectedVersion(request: IncomingMessage): number | undefined {
  if (request.headers['if-none-match'] === '*') return 0;
  const match = /^"(\d+)"$/.exec(request.headers['if-match'] ?? '');
  return match === null ? undefined : Number(match[1]);
}
