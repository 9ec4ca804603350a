// A small stand-in of an application backend, after PROTOCOL.md.
import { createServer, request } from 'node:http';

const heartbeatMilliseconds = 1500;

export class Backend {
  #running = 0;

  #sequence = 0;

  #timer;

  /** The requests that it ran, as { id, method, path, headers, at }; `at` is monotonic. */
  runs = [];

  /** What its node answered to its reports. */
  acknowledgements = [];

  constructor({ id, service, zone, slots, control, workMilliseconds }) {
    Object.assign(this, { id, service, zone, slots, control, workMilliseconds });
    this.born = Date.now();
    /** Called before a request runs; true if it has answered the request itself. */
    this.intercept = undefined;
    this.server = createServer((incoming, response) => this.#handle(incoming, response));
    this.server.keepAliveTimeout = 10_000;
  }

  async start(port) {
    this.port = port;
    await new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), heartbeatMilliseconds);
  }

  close() {
    this.stopBeats();
    this.server.closeAllConnections();
    this.server.close();
  }

  stopBeats() {
    clearInterval(this.#timer);
  }

  /** The next heartbeat, which may be sent later. */
  makeHeartbeat(state = 'ready') {
    this.#sequence += 1;
    return {
      address: `127.0.0.1:${this.port}`,
      born: this.born,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state, sequence: this.#sequence, cold_time: '0ms' },
    };
  }

  sendHeartbeat(body) {
    return this.#call('heartbeat', body);
  }

  deregister() {
    return this.#call('deregister', { born: this.born });
  }

  #beat() {
    this.sendHeartbeat(this.makeHeartbeat());
  }

  /** Gives the status of the answer; undefined if none comes within a second. */
  #call(name, body) {
    return new Promise((resolve) => {
      const outgoing = request({
        host: '127.0.0.1',
        port: this.control,
        agent: false,
        method: 'POST',
        path: `/v1/instances/${this.id}/${name}`,
        headers: { 'content-type': 'application/json' },
      });
      outgoing.setTimeout(1000, () => outgoing.destroy());
      outgoing.once('error', () => resolve(undefined));
      outgoing.once('response', (answer) => {
        answer.resume();
        this.acknowledgements.push({ name, status: answer.statusCode, at: performance.now() });
        resolve(answer.statusCode);
      });
      outgoing.end(JSON.stringify(body));
    });
  }

  async #handle(incoming, response) {
    const chunks = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk);
    } catch {
      return;
    }
    const { headers, method, url } = incoming;
    const id = headers['request-id'];
    const answer = (status, further, text = '') => {
      if (response.destroyed) return;
      response.writeHead(status, {
        ...(id === undefined ? {} : { 'request-id': id }),
        'server-load': `${this.#running},0,${this.slots},100`,
        'content-length': Buffer.byteLength(text),
        ...further,
      });
      response.end(text);
    };
    if (headers['target-instance'] !== undefined && headers['target-instance'] !== this.id) {
      answer(421, { 'instance-id': this.id });
      return;
    }
    if (id === undefined) {
      answer(400, { 'not-executed': '1' });
      return;
    }
    if (this.intercept?.({ incoming, response, id, answer }) === true) return;
    const body = Buffer.concat(chunks).toString();
    this.runs.push({ id, method, path: url, headers, body, at: performance.now() });
    this.#running += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, this.workMilliseconds);
    });
    this.#running -= 1;
    answer(200, { 'response-signature': `signed-${id}` }, `answer of ${this.id} to ${id}`);
  }
}
