// Stand-in for a backend server of the platform, as PROTOCOL.md describes it.
import { createHash } from 'node:crypto';
import http from 'node:http';

const heartbeatMilliseconds = 1500;
const waitingPlaces = 26;

/** A backend server with slots. Records each request that it runs. */
export class Backend {
  state = 'ready';

  /** Replaces the usual answer: called with the request, its body and the response after the work. */
  answerWith = undefined;

  sequence = 0;

  #running = 0;

  #waiting = [];

  #server = http.createServer((request, response) => this.#handle(request, response));

  #timer;

  /**
   * `control` is the address for heartbeats, `born` the time of the start. `workMilliseconds` may be
   * a function of the request.
   */
  constructor({ id, service, zone, address, control, slots, workMilliseconds, record, born }) {
    Object.assign(this, { id, service, zone, address, control, slots, workMilliseconds, record });
    this.born = born ?? Date.now();
  }

  async listen() {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.address.port, this.address.host, resolve);
    });
    // Idle connections are closed after this time, and answers name it in `Keep-Alive`.
    this.#server.keepAliveTimeout = 10_000;
    this.#server.requestTimeout = 0;
    this.startHeartbeats();
  }

  startHeartbeats() {
    this.sendHeartbeat();
    this.#timer = setInterval(() => this.sendHeartbeat(), heartbeatMilliseconds);
  }

  stopHeartbeats() {
    clearInterval(this.#timer);
  }

  close() {
    this.stopHeartbeats();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** The next heartbeat as a body. */
  nextHeartbeat() {
    this.sequence += 1;
    const { address, born, sequence, service, slots, state, zone } = this;
    return {
      address: `${address.host}:${address.port}`,
      born,
      info: { service, version: 'v1', zone, slots },
      status: { state, sequence, cold_time: '0ms' },
    };
  }

  sendHeartbeat() {
    return this.call('heartbeat', this.nextHeartbeat());
  }

  /** Calls the node of this host; resolves with the status, or with 0 if there is no answer. */
  call(name, body) {
    return new Promise((resolve) => {
      const outgoing = http.request({
        ...this.control,
        method: 'POST',
        path: `/v1/instances/${this.id}/${name}`,
        headers: { 'content-type': 'application/json' },
      });
      outgoing.setTimeout(1000, () => outgoing.destroy());
      outgoing.once('error', () => resolve(0));
      outgoing.once('response', (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      });
      outgoing.end(JSON.stringify(body));
    });
  }

  async #handle(request, response) {
    const requestId = request.headers['request-id'];
    const body = await readAll(request);
    // A request whose connection closes before it is complete is dropped.
    if (body === undefined || response.destroyed) return;
    if (requestId === undefined) {
      this.#reject(response, 400, '');
    } else if ((request.headers['target-instance'] ?? this.id) !== this.id) {
      this.#reject(response, 421, requestId);
    } else if (this.#running >= this.slots && this.#waiting.length >= waitingPlaces) {
      this.#reject(response, 503, requestId);
    } else {
      await this.#takeSlot();
      if (!response.destroyed) await this.#run(request, requestId, body, response);
      this.#freeSlot();
    }
  }

  async #run(request, requestId, body, response) {
    this.record('run', {
      backend: this.id,
      service: this.service,
      id: requestId,
      method: request.method,
      path: request.url,
      bytes: body.length,
      digest: digestOf(body),
    });
    const work = this.workMilliseconds;
    const milliseconds = typeof work === 'function' ? work(request) : work;
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      response.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
    });
    if (response.destroyed) {
      this.record('dropped', { backend: this.id, id: requestId });
      return;
    }
    this.record('answers', { backend: this.id, id: requestId });
    if (this.answerWith?.(request, requestId, response) === true) return;
    const text = `answer of ${this.id} to ${requestId}`;
    response.writeHead(200, { ...this.headers(requestId), 'content-length': text.length });
    response.end(text);
  }

  headers(requestId) {
    return {
      'request-id': requestId,
      'response-signature': `signed.${this.id}.${requestId}`,
      'server-load': `${this.#running},${this.#waiting.length},${this.slots},100`,
    };
  }

  #reject(response, status, requestId) {
    response.writeHead(status, {
      'request-id': requestId,
      'instance-id': this.id,
      'not-executed': '1',
      'server-load': `${this.#running},${this.#waiting.length},${this.slots},100`,
      'content-length': 0,
    });
    response.end();
  }

  async #takeSlot() {
    if (this.#running < this.slots) {
      this.#running += 1;
      return;
    }
    await new Promise((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  #freeSlot() {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
  }
}

export function digestOf(data) {
  return createHash('sha256').update(data).digest('hex').slice(0, 16);
}

async function readAll(request) {
  const chunks = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
  } catch {
    return undefined;
  }
  return request.complete ? Buffer.concat(chunks) : undefined;
}
