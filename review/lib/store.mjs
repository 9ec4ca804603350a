// Stand-in for the platform's metadata store, as PROTOCOL.md describes it.
import http from 'node:http';

const objectPath = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+))?$/;

/** Objects by kind and name, with lists, watches and conditional writes. */
export class Store {
  #revision = 1;

  /** All changes in order: what an object became and when; `object` is undefined after a removal. */
  #changes = [];

  #waiting = new Set();

  #server = http.createServer((request, response) => this.#handle(request, response));

  /** `staleMilliseconds`: how old the data is that calls with `allow_stale` get. */
  constructor({ staleMilliseconds = 0 } = {}) {
    this.staleMilliseconds = staleMilliseconds;
  }

  async listen(host, port) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object as the operator does. */
  put(kind, name, spec) {
    this.#change(kind, name, { spec });
  }

  #change(kind, name, value) {
    this.#revision += 1;
    const rev = this.#revision;
    const earlier = this.#state(kind, Infinity).get(name);
    const object = value ?? earlier;
    const metadata = { name, rev, created: rev, finalizers: [], deletion_pending: false };
    this.#changes.push({
      at: performance.now(),
      kind,
      name,
      rev,
      deleted: value === undefined,
      object: { metadata, spec: object.spec, status: null },
    });
    for (const wake of [...this.#waiting]) wake();
  }

  /** Objects of a kind as they were at a time. */
  #state(kind, until) {
    const state = new Map();
    for (const change of this.#changes) {
      if (change.kind !== kind || change.at > until) continue;
      if (change.deleted) state.delete(change.name);
      else state.set(change.name, change.object);
    }
    return state;
  }

  #revisionAt(until) {
    let revision = 1;
    for (const { at, rev } of this.#changes) if (at <= until) revision = rev;
    return revision;
  }

  #horizon(stale) {
    return performance.now() - (stale ? this.staleMilliseconds : 0);
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, kind, encoded] = objectPath.exec(url.pathname) ?? [];
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    const body = await readJson(request);
    if (kind === undefined) answer(response, 404, {});
    else if (request.method !== 'GET') this.#write(kind, name, request.method, url, body, response);
    else if (url.searchParams.has('watch')) await this.#watch(kind, url, response);
    else this.#read(kind, name, url, response);
  }

  #read(kind, name, url, response) {
    const horizon = this.#horizon(url.searchParams.get('allow_stale') === '1');
    const state = this.#state(kind, horizon);
    if (name !== undefined) {
      const object = state.get(name);
      answer(response, object === undefined ? 404 : 200, object ?? {});
      return;
    }
    const after = url.searchParams.get('after') ?? '';
    const items = [...state.values()].filter(({ metadata }) => metadata.name > after);
    items.sort((first, second) => (first.metadata.name < second.metadata.name ? -1 : 1));
    answer(response, 200, { items, has_more: false, at: this.#revisionAt(horizon) });
  }

  async #watch(kind, url, response) {
    const stale = url.searchParams.get('allow_stale') === '1';
    const since = Number(url.searchParams.get('watch'));
    const end = performance.now() + Math.min(30_000, Number(url.searchParams.get('wait_ms')));
    for (;;) {
      const horizon = this.#horizon(stale);
      const events = this.#changes
        .filter((change) => change.kind === kind && change.rev > since && change.at <= horizon)
        .map(({ deleted, object }) => ({ object, deleted }));
      if (events.length > 0 || performance.now() >= end) {
        answer(response, 200, { events, at: Math.max(since, this.#revisionAt(horizon)) });
        return;
      }
      if (response.destroyed) return;
      await this.#changed(Math.min(100, end - performance.now()));
    }
  }

  #changed(milliseconds) {
    return new Promise((resolve) => {
      const wake = () => {
        this.#waiting.delete(wake);
        resolve();
      };
      this.#waiting.add(wake);
      setTimeout(wake, milliseconds);
    });
  }

  #write(kind, named, method, url, body, response) {
    const name = named ?? body?.metadata?.name;
    const current = this.#state(kind, Infinity).get(name);
    const expected = body?.metadata?.rev ?? url.searchParams.get('rev');
    if (method === 'POST') {
      if (current !== undefined) {
        answer(response, 409, current);
        return;
      }
    } else if (current === undefined) {
      answer(response, 404, {});
      return;
    } else if (expected !== null && Number(expected) !== current.metadata.rev) {
      answer(response, 409, current);
      return;
    }
    const isSame = JSON.stringify(current?.spec) === JSON.stringify(body?.spec);
    if (method === 'DELETE') this.#change(kind, name, undefined);
    else if (!isSame) this.#change(kind, name, { spec: body.spec });
    answer(response, 200, this.#state(kind, Infinity).get(name) ?? current);
  }
}

function answer(response, status, value) {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

async function readJson(request) {
  const chunks = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
    return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
  } catch {
    return undefined;
  }
}
