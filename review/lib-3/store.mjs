// A small stand-in of the platform's object store, after PROTOCOL.md. It is linearizable, except that
// calls with `allow_stale` are answered from the state of `staleMilliseconds` ago.
import { createServer } from 'node:http';

export class Store {
  #states = [{ at: -Infinity, revision: 1, objects: new Map() }];

  #events = [];

  #wakers = new Set();

  #connections = new Set();

  #silent = new WeakSet();

  constructor({ staleMilliseconds = 0 } = {}) {
    this.staleMilliseconds = staleMilliseconds;
    /** Called with each call as { method, url }; gives 'ok', 'silent', 'reset' or a status. */
    this.admit = () => 'ok';
    this.server = createServer((request, response) => {
      // An answer on a connection that has gone silent gets nowhere.
      response.isSilent = () => this.#silent.has(request.socket);
      this.#handle(request, response);
    });
    this.server.on('connection', (socket) => {
      this.#connections.add(socket);
      socket.once('close', () => this.#connections.delete(socket));
    });
  }

  async start(port) {
    await new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes as the operator does. */
  put(kind, name, spec) {
    return this.#change(kind, name, spec, false);
  }

  /** From now on nothing comes back on the connections that are open. They stay open. */
  silenceOpenConnections() {
    for (const socket of this.#connections) this.#silent.add(socket);
  }

  get(kind, name) {
    return this.#latest.objects.get(`${kind}/${name}`);
  }

  get #latest() {
    return this.#states[this.#states.length - 1];
  }

  #change(kind, name, spec, deleted) {
    const { objects, revision } = this.#latest;
    const next = new Map(objects);
    const key = `${kind}/${name}`;
    const rev = revision + 1;
    const created = objects.get(key)?.metadata.created ?? rev;
    const metadata = { name, rev, created, finalizers: [], deletion_pending: false };
    const object = deleted ? objects.get(key) : { metadata, spec, status: null };
    if (deleted) next.delete(key);
    else next.set(key, object);
    const at = performance.now();
    this.#states.push({ at, revision: rev, objects: next });
    this.#events.push({ at, rev, kind, deleted, object });
    for (const wake of [...this.#wakers]) wake();
    return object;
  }

  #stateFor(isStale) {
    if (!isStale) return this.#latest;
    const until = performance.now() - this.staleMilliseconds;
    return this.#states.findLast(({ at }) => at <= until);
  }

  async #handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (response.isSilent()) return;
    const verdict = this.admit({ method: request.method, url: request.url });
    if (verdict === 'silent') return;
    if (verdict === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (verdict !== 'ok') {
      send(response, verdict, {});
      return;
    }
    const url = new URL(request.url, 'http://store');
    const [, kind, encoded] = /^\/v1\/objects\/([^/]+)(?:\/([^/]+))?$/.exec(url.pathname) ?? [];
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    if (kind === undefined) send(response, 404, {});
    else if (request.method !== 'GET') {
      const text = Buffer.concat(chunks).toString();
      this.#write(request.method, kind, name, url, text === '' ? {} : JSON.parse(text), response);
    } else if (name !== undefined) {
      const object = this.get(kind, name);
      send(response, object === undefined ? 404 : 200, object ?? {});
    } else if (url.searchParams.has('watch')) await this.#watch(kind, url.searchParams, response);
    else {
      const state = this.#stateFor(url.searchParams.get('allow_stale') === '1');
      const after = url.searchParams.get('after') ?? '';
      const items = [...state.objects]
        .filter(([key, { metadata }]) => key.startsWith(`${kind}/`) && metadata.name > after)
        .map(([, object]) => object)
        .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
      send(response, 200, { items, has_more: false, at: state.revision });
    }
  }

  async #watch(kind, parameters, response) {
    const from = Number(parameters.get('watch'));
    const isStale = parameters.get('allow_stale') === '1';
    const end = performance.now() + Number(parameters.get('wait_ms') ?? 0);
    for (;;) {
      const { revision } = this.#stateFor(isStale);
      const events = this.#events
        .filter((event) => event.kind === kind && event.rev > from && event.rev <= revision)
        .map(({ object, deleted }) => ({ object, deleted }));
      const left = end - performance.now();
      if (events.length > 0 || left <= 0) {
        send(response, 200, { events, at: Math.max(from, revision) });
        return;
      }
      await this.#wait(isStale ? Math.min(left, 20) : left);
      if (response.destroyed) return;
    }
  }

  #wait(milliseconds) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#wakers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.#wakers.add(wake);
    });
  }

  #write(method, kind, pathName, url, body, response) {
    const name = pathName ?? body.metadata?.name;
    const current = this.get(kind, name);
    const given = body.metadata?.rev ?? url.searchParams.get('rev');
    const rev = given === null || given === undefined ? undefined : Number(given);
    if (method === 'POST') {
      if (current !== undefined) send(response, 409, current);
      else send(response, 200, this.#change(kind, name, body.spec, false));
    } else if (current === undefined) send(response, 404, {});
    else if (rev !== undefined && rev !== current.metadata.rev) send(response, 409, current);
    else if (method === 'DELETE') send(response, 200, this.#change(kind, name, undefined, true));
    else if (JSON.stringify(current.spec) === JSON.stringify(body.spec)) {
      send(response, 200, current);
    } else send(response, 200, this.#change(kind, name, body.spec, false));
  }
}

function send(response, status, body) {
  if (response.destroyed || response.isSilent()) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
