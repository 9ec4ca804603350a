// Stand-in of an application backend, as PROTOCOL.md, "Backends" and "Service discovery", describes
// a sound one: slots and a queue, 421 for another instance, heartbeats and the notices of its end.
import { once } from 'node:events';
import { createServer, request } from 'node:http';

const heartbeatMilliseconds = 1500;
const acknowledgementMilliseconds = 1000;
/** So that the first half of a broken answer is on its way. */
const breakOffMilliseconds = 20;

export class Backend {
  /** What it received and ran: id, times, end. */
  runs = [];

  /** Heartbeats that were acknowledged. */
  beats = 0;

  #running = 0;

  #queue = [];

  #sequence = 0;

  #state = 'ready';

  /**
   * `workOf` gives the work of a request in milliseconds, `bytesOf` the length of its answer.
   * `breaksOff` tells whether an answer is broken off after its first half.
   */
  constructor({ workOf, bytesOf, breaksOff, ...options }) {
    const { id, service, zone, slots = 6, queue = 12, port, control, record } = options;
    Object.assign(this, { id, service, zone, slots, queueLimit: queue, port, control, record });
    this.workOf = workOf ?? (() => 50);
    this.bytesOf = bytesOf ?? (() => 0);
    this.breaksOff = breaksOff ?? (() => false);
    this.born = Date.now();
  }

  async start() {
    this.server = createServer((incoming, response) => this.#handle(incoming, response));
    this.server.keepAliveTimeout = 10_000;
    this.server.requestTimeout = 0;
    this.server.listen(this.port, '127.0.0.1');
    await once(this.server, 'listening');
    this.beat();
    this.timer = setInterval(() => this.beat(), heartbeatMilliseconds);
  }

  /** Ends at once, as by a loss of power. */
  end() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  beat(state = this.#state) {
    this.#sequence += 1;
    return this.sendBeat(this.beatOf(state, this.#sequence));
  }

  /** The next heartbeat, which the caller sends later. */
  delayedBeat() {
    this.#sequence += 1;
    return this.beatOf(this.#state, this.#sequence);
  }

  beatOf(state, sequence) {
    return {
      address: `127.0.0.1:${this.port}`,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state, sequence, cold_time: '0ms' },
      born: this.born,
    };
  }

  async sendBeat(body) {
    const isAcknowledged = await this.#call('heartbeat', body);
    if (isAcknowledged) this.beats += 1;
    return isAcknowledged;
  }

  /** Says first that it leaves, and serves on: some backends never report `draining`. */
  deregister() {
    clearInterval(this.timer);
    return this.#call('deregister', { born: this.born });
  }

  #call(name, body) {
    return new Promise((resolve) => {
      const outgoing = request({
        host: '127.0.0.1',
        port: this.control,
        method: 'POST',
        path: `/v1/instances/${this.id}/${name}`,
        headers: { 'content-type': 'application/json' },
        agent: false,
      });
      outgoing.setTimeout(acknowledgementMilliseconds, () => outgoing.destroy());
      outgoing.once('error', () => resolve(false));
      outgoing.once('close', () => resolve(false));
      outgoing.once('response', (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      });
      outgoing.end(JSON.stringify(body));
    });
  }

  #headers(id) {
    return {
      'request-id': id,
      'instance-id': this.id,
      'server-load': `${this.#running},${this.#queue.length},${this.slots},100`,
    };
  }

  async #handle(incoming, response) {
    const id = String(incoming.headers['request-id'] ?? '');
    const run = { id, backend: this.id, arrivedAt: Date.now(), bytes: 0, end: 'open' };
    let isClosed = false;
    response.once('close', () => {
      isClosed = true;
    });
    const refuse = (status, headers = {}) => {
      run.end = `refused ${status}`;
      response.writeHead(status, { ...this.#headers(id), ...headers, 'content-length': 0 });
      response.end();
    };
    if (incoming.url === '/healthz') return refuse(200);
    const chunks = [];
    const expected = incoming.headers['target-instance'];
    this.runs.push(run);
    this.record?.('backend-arrival', { id, backend: this.id, path: incoming.url });
    try {
      for await (const chunk of incoming) {
        chunks.push(chunk);
        run.bytes += chunk.length;
      }
    } catch {
      run.end = 'body broke off';
      this.record?.('backend-end', run);
      return undefined;
    }
    if (id === '') return refuse(400, { 'not-executed': '1' });
    if (expected !== undefined && expected !== this.id) return refuse(421);
    if (this.#running >= this.slots) {
      if (this.#queue.length >= this.queueLimit) return refuse(503, { 'not-executed': '1' });
      await new Promise((resolve) => {
        this.#queue.push(resolve);
      });
    }
    this.#running += 1;
    run.startedAt = Date.now();
    this.record?.('backend-run', { id, backend: this.id, bytes: run.bytes });
    const limit = Number(incoming.headers['deadline-ms'] ?? 30_000);
    const work = this.workOf(id, incoming);
    const isTooLong = work > limit;
    const until = performance.now() + Math.min(work, limit);
    while (performance.now() < until && !isClosed) {
      await new Promise((resolve) => {
        setTimeout(resolve, Math.min(10, Math.max(1, until - performance.now())));
      });
    }
    this.#running -= 1;
    this.#queue.shift()?.();
    run.endedAt = Date.now();
    // A backend stops work at the deadline that it receives, and answers 504.
    run.end = isTooLong ? 'deadline' : 'answered';
    if (isClosed) run.end = 'dropped';
    this.record?.('backend-end', { id, backend: this.id, end: run.end });
    if (isClosed) return undefined;
    const text = `answer of ${this.id} to ${id} `.padEnd(this.bytesOf(id), '.');
    response.writeHead(isTooLong ? 504 : 200, {
      ...this.#headers(id),
      'response-signature': `${this.id}.${id}`,
      'content-length': Buffer.byteLength(text),
    });
    if (!this.breaksOff(run, this.runs)) {
      response.end(text);
      return undefined;
    }
    run.end = 'broken off';
    this.record?.('backend-broke-off', { id, backend: this.id });
    response.write(text.slice(0, text.length / 2), () => {
      setTimeout(() => incoming.socket.resetAndDestroy(), breakOffMilliseconds);
    });
    return undefined;
  }
}
