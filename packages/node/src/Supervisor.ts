import type { Logger } from '@hickorybridge/logger';
import type { Clock } from '@hickorybridge/utils';

const firstRestartMilliseconds = 100;
const longestRestartMilliseconds = 10_000;

/** A task that runs until its signal aborts. */
export type SupervisedTask = (signal: AbortSignal) => Promise<void>;

/**
 * Runs tasks and starts those again that fail, after a delay that doubles with each failure.
 * Supervisors form a tree: a child ends with its parent.
 */
export class Supervisor implements AsyncDisposable {
  readonly #name: string;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #abort = new AbortController();

  readonly #running = new Set<Promise<void>>();

  readonly #children: Supervisor[] = [];

  constructor(name: string, clock: Clock, logger: Logger) {
    this.#name = name;
    this.#clock = clock;
    this.#logger = logger;
  }

  /** Makes a supervisor that ends with this one. */
  child(name: string): Supervisor {
    const child = new Supervisor(`${this.#name}/${name}`, this.#clock, this.#logger);
    this.#children.push(child);
    return child;
  }

  /** Starts a task. It is not started again once it has returned. */
  start(name: string, task: SupervisedTask): void {
    const running = this.#supervise(name, task).finally(() => this.#running.delete(running));
    this.#running.add(running);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const child of this.#children.toReversed()) await child[Symbol.asyncDispose]();
    this.#abort.abort();
    await Promise.all(this.#running);
  }

  async #supervise(name: string, task: SupervisedTask): Promise<void> {
    const { signal } = this.#abort;
    let delay = firstRestartMilliseconds;
    while (!signal.aborted) {
      try {
        await task(signal);
        return;
      } catch (error) {
        if (signal.aborted) return;
        this.#logger.error('task-failed', 'a task failed and is started again after a delay', {
          task: `${this.#name}/${name}`,
          delayMilliseconds: delay,
          error: error instanceof Error ? (error.stack ?? error.message) : String(error),
        });
        await this.#clock.sleep(delay, signal);
        delay = Math.min(delay * 2, longestRestartMilliseconds);
      }
    }
  }
}
