import { setMaxListeners } from 'node:events';
import type { Logger } from '@hickorybridge/logger';
import type { Clock } from '@hickorybridge/utils';

/** Settings of a task group. */
export interface TaskGroupOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

const firstRestartMilliseconds = 500;
const maximumRestartMilliseconds = 30_000;
const disposalMilliseconds = 1000;

/** Runs the duties of one component, one task each, and restarts those that end with an error. */
export class TaskGroup implements AsyncDisposable {
  readonly #options: TaskGroupOptions;

  readonly #stop = new AbortController();

  readonly #tasks: Promise<void>[] = [];

  constructor(options: TaskGroupOptions) {
    this.#options = options;
    // Each task waits on the signal, and its waits within it do as well.
    setMaxListeners(0, this.#stop.signal);
  }

  /** Aborts at disposal. */
  get signal(): AbortSignal {
    return this.#stop.signal;
  }

  /** Runs a task until it returns or the group is disposed. */
  start(name: string, task: (signal: AbortSignal) => Promise<void>): void {
    this.#tasks.push(this.#supervise(name, task));
  }

  /** Stops all tasks and waits for them, at most one second. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    const limit = new AbortController();
    await Promise.race([
      Promise.all(this.#tasks),
      this.#options.clock.sleep(disposalMilliseconds, limit.signal),
    ]);
    limit.abort();
  }

  async #supervise(name: string, task: (signal: AbortSignal) => Promise<void>): Promise<void> {
    const { clock, logger } = this.#options;
    let delay = firstRestartMilliseconds;
    while (!this.signal.aborted) {
      try {
        await task(this.signal);
        return;
      } catch (error) {
        const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
        logger.error('task-failed', `the task ${name} failed; restarting it in ${delay} ms`, {
          task: name,
          detail,
        });
      }
      await clock.sleep(delay, this.signal);
      delay = Math.min(delay * 2, maximumRestartMilliseconds);
    }
  }
}
