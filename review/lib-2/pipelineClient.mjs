// A client that sends safe requests before the first is answered (demands/LATER.md, "Requests").
// It reads answers in the order of the requests and notes which got a complete one.
import { once } from 'node:events';
import { connect } from 'node:net';

const headEnd = '\r\n\r\n';

export class PipelineClient {
  /** One entry for each request, in the order in which they were sent. */
  requests = [];

  #received = Buffer.alloc(0);

  constructor({ port, host, record }) {
    Object.assign(this, { port, host, record });
  }

  async open() {
    this.socket = connect(this.port, '127.0.0.1');
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk) => {
      this.#received = Buffer.concat([this.#received, chunk]);
      this.#read();
    });
    this.socket.on('error', (error) => this.record('client-error', { detail: error.message }));
    this.closed = new Promise((resolve) => {
      this.socket.once('close', () => {
        this.closedAt = Date.now();
        this.record('client-closed', { open: this.open_().map(({ id }) => id) });
        resolve();
      });
    });
    await once(this.socket, 'connect');
  }

  open_() {
    return this.requests.filter(({ status }) => status === undefined);
  }

  send(ids, deadlineMilliseconds) {
    const text = ids.map((id) =>
      [
        `GET /${this.host.split('.')[0]}/${id} HTTP/1.1`,
        `Host: ${this.host}`,
        `Request-Id: ${id}`,
        `Deadline-Ms: ${deadlineMilliseconds}`,
        '',
        '',
      ].join('\r\n'),
    );
    for (const id of ids) {
      this.requests.push({ id, sentAt: Date.now() });
      this.record('client-sent', { id });
    }
    this.socket.write(text.join(''));
  }

  #read() {
    for (;;) {
      const end = this.#received.indexOf(headEnd);
      if (end < 0) return;
      const head = this.#received.subarray(0, end).toString('latin1');
      const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
      const total = end + headEnd.length + length;
      if (this.#received.length < total) return;
      this.#received = this.#received.subarray(total);
      const request = this.open_()[0];
      if (request === undefined) return;
      request.status = Number(head.slice(9, 12));
      request.closes = /^connection: *close/im.test(head);
      request.answeredAt = Date.now();
      this.record('client-answer', {
        id: request.id,
        status: request.status,
        closes: request.closes,
      });
    }
  }
}
