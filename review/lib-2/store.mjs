// Stand-in of the platform's store: the part of PROTOCOL.md, "The platform's metadata store", that
// the program under test uses.
import { createServer } from 'node:http';
import { once } from 'node:events';

const pageSize = 500;

export class Store {
  #objects = new Map();

  #events = [];

  #revision = 1;

  #waiting = new Set();

  /** While it is down, it does nothing and answers 503. */
  isDown = false;

  /** Calls of the program, for the record: time, method, path, status. */
  calls = [];

  async start(port) {
    this.server = createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 120_000;
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
  }

  /** Writes an object as the operator does. */
  put(key, spec) {
    this.#revision += 1;
    const name = key.slice(key.indexOf('/') + 1);
    const object = { metadata: { name, rev: this.#revision }, spec };
    this.#objects.set(key, object);
    this.#publish({ key, rev: this.#revision, deleted: false, object });
    return object;
  }

  /** Turns every call away for a time; watches that wait are cut off. */
  async goDown(milliseconds) {
    this.isDown = true;
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
    this.isDown = false;
  }

  entries(kind) {
    return [...this.#objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, { spec }]) => spec);
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  #publish(event) {
    this.#events.push(event);
    for (const wake of [...this.#waiting]) wake();
  }

  async #handle(request, response) {
    const call = { at: Date.now(), method: request.method, path: request.url, status: 0 };
    this.calls.push(call);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString('utf8');
    const url = new URL(request.url, 'http://store');
    const [, kind, encoded] = /^\/v1\/objects\/([^/]+)(?:\/([^/]+))?$/.exec(url.pathname) ?? [];
    const send = (status, body) => {
      call.status = status;
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(body));
    };
    if (this.isDown) return send(503, {});
    if (kind === undefined) return send(404, {});
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    if (request.method !== 'GET') return this.#write({ kind, name, request, url, text, send });
    if (name !== undefined) {
      const object = this.#objects.get(`${kind}/${name}`);
      return send(object === undefined ? 404 : 200, object ?? {});
    }
    if (url.searchParams.has('watch')) return this.#watch({ kind, url, response, send });
    const after = url.searchParams.get('after') ?? '';
    const all = [...this.#objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter(({ metadata }) => metadata.name > after)
      .sort((first, second) => (first.metadata.name < second.metadata.name ? -1 : 1));
    return send(200, {
      items: all.slice(0, pageSize),
      has_more: all.length > pageSize,
      at: this.#revision,
    });
  }

  async #watch({ kind, url, response, send }) {
    const from = Number(url.searchParams.get('watch'));
    const until = performance.now() + Number(url.searchParams.get('wait_ms') ?? 0);
    const found = () =>
      this.#events.filter(({ key, rev }) => key.startsWith(`${kind}/`) && rev > from);
    let isGone = false;
    let wakeUp = () => {};
    response.once('close', () => {
      isGone = true;
      wakeUp();
    });
    while (found().length === 0 && performance.now() < until && !isGone) {
      await new Promise((resolve) => {
        const wake = () => {
          this.#waiting.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, until - performance.now());
        this.#waiting.add(wake);
        wakeUp = wake;
      });
    }
    if (isGone) return;
    if (this.isDown) {
      send(503, {});
      return;
    }
    const events = found().map(({ deleted, object }) => ({ object, deleted }));
    send(200, { events, at: this.#revision });
  }

  #write({ kind, name, request, url, text, send }) {
    const body = text === '' ? {} : JSON.parse(text);
    const key = `${kind}/${name ?? body.metadata?.name}`;
    const current = this.#objects.get(key);
    if (request.method === 'POST') {
      if (current !== undefined) return send(409, current);
      return send(200, this.put(key, body.spec));
    }
    if (current === undefined) return send(404, {});
    const rev = body.metadata?.rev ?? url.searchParams.get('rev');
    if (rev !== undefined && rev !== null && Number(rev) !== current.metadata.rev) {
      return send(409, current);
    }
    if (request.method === 'PUT') return send(200, this.put(key, body.spec));
    this.#revision += 1;
    this.#objects.delete(key);
    this.#publish({ key, rev: this.#revision, deleted: true, object: current });
    return send(200, current);
  }
}
