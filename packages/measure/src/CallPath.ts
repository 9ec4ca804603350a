import { Agent, request } from 'undici';

const okStatus = 200;

/** A way to the same backend server. */
export interface CallPathOptions {
  readonly name: string;
  readonly url: string;
  /** Host name of the service. */
  readonly host: string;
  /** Path of an idempotent request. */
  readonly path: string;
}

/** Sends the same small call on one path and measures its response time. */
export class CallPath implements AsyncDisposable {
  readonly name: string;

  /** Calls without a complete answer. */
  failures = 0;

  /** Calls in all. */
  calls = 0;

  readonly #options: CallPathOptions;

  readonly #agent = new Agent({ pipelining: 1 });

  constructor(options: CallPathOptions) {
    this.name = options.name;
    this.#options = options;
  }

  /** Gives the response time in milliseconds; `undefined` when the call failed. */
  async measure(mark: string): Promise<number | undefined> {
    this.calls += 1;
    const start = performance.now();
    try {
      const answer = await request(`${this.#options.url}${this.#options.path}`, {
        dispatcher: this.#agent,
        headers: { host: this.#options.host, 'x-mark': mark, 'x-answer-bytes': '512' },
      });
      await answer.body.dump();
      if (answer.statusCode === okStatus) return performance.now() - start;
    } catch {
      // Counted below.
    }
    this.failures += 1;
    return undefined;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }
}
