import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Operators' listener that answers with fixed values by path. */
export class FakeNode implements AsyncDisposable {
  /** Answers by method and path, as in `GET /status`. */
  readonly answers: Record<string, unknown> = {};

  /** Bearer token that is needed, if any. */
  key: string | undefined;

  readonly #server = createServer((request, response) => {
    const answer = this.answers[`${request.method ?? ''} ${request.url ?? ''}`];
    const { authorization } = request.headers;
    if (this.key !== undefined && authorization !== `Bearer ${this.key}`) response.writeHead(401);
    else if (answer === undefined) response.writeHead(404);
    response.end(typeof answer === 'string' ? answer : JSON.stringify(answer));
  });

  /** Starts to listen on loopback. */
  static async start(): Promise<FakeNode> {
    const node = new FakeNode();
    node.#server.listen(0, '127.0.0.1');
    await new Promise((resolve) => {
      node.#server.once('listening', resolve);
    });
    return node;
  }

  get address() {
    return { host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port };
  }

  get url(): string {
    return `http://127.0.0.1:${this.address.port}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }
}
