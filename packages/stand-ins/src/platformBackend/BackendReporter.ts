import { request } from 'node:http';

/** What a backend server of the platform says of itself. */
export interface BackendReporterOptions {
  readonly id: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Address of the backend server, as host and port. */
  readonly address: string;
  /** Where the node of this host takes reports. */
  readonly reports: { readonly host: string; readonly port: number };
}

const heartbeatMilliseconds = 1500;
const answerLimitMilliseconds = 1000;

/** Sends the heartbeats of a backend server, and says when it leaves. */
export class BackendReporter implements AsyncDisposable {
  readonly #options: BackendReporterOptions;

  readonly #startedAt = Date.now();

  #state: 'ready' | 'draining' = 'ready';

  #sequence = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: BackendReporterOptions) {
    this.#options = options;
  }

  start(): void {
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), heartbeatMilliseconds);
  }

  /** Reports that the backend server drains, until that is acknowledged or the limit has passed. */
  async drain(limitMilliseconds: number): Promise<boolean> {
    this.#state = 'draining';
    const end = performance.now() + limitMilliseconds;
    while (performance.now() < end) {
      if (await this.#beat()) return true;
      await new Promise((resolve) => {
        setTimeout(resolve, answerLimitMilliseconds / 4);
      });
    }
    return false;
  }

  /** Stops the heartbeats and says that the backend server is gone. */
  async deregister(): Promise<boolean> {
    clearInterval(this.#timer);
    return this.#call('deregister', { born: this.#startedAt });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
  }

  async #beat(): Promise<boolean> {
    const { address, failureDomain, service, slots } = this.#options;
    this.#sequence += 1;
    return this.#call('heartbeat', {
      address,
      born: this.#startedAt,
      info: { service, version: 'v1', zone: failureDomain, slots },
      status: { state: this.#state, sequence: this.#sequence, cold_time: '0ms' },
    });
  }

  /** Gives whether the call was acknowledged. */
  async #call(name: string, body: unknown): Promise<boolean> {
    const { id, reports } = this.#options;
    return new Promise((resolve) => {
      const outgoing = request({
        ...reports,
        agent: false,
        method: 'POST',
        path: `/v1/instances/${id}/${name}`,
        headers: { 'content-type': 'application/json' },
      });
      outgoing.setTimeout(answerLimitMilliseconds, () => outgoing.destroy());
      outgoing.once('error', () => resolve(false));
      outgoing.once('close', () => resolve(false));
      outgoing.once('response', (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      });
      outgoing.end(JSON.stringify(body));
    });
  }
}
