import type { Clock } from './clock.js';

const firstRestartMilliseconds = 200;
const longestRestartMilliseconds = 30_000;

// A task that does not heed its signal must not hold up the end of the process.
const disposalMilliseconds = 1000;

/** A task that runs until its signal aborts. */
export type SupervisedTask = (signal: AbortSignal) => Promise<void>;

/** A task that has ended with an error and is started again after a delay. */
export interface TaskFailure {
  /** Names of the supervisors and the task, from the root, joined by `/`. */
  readonly task: string;
  /** Stack or message of the error. */
  readonly detail: string;
  readonly delayMilliseconds: number;
}

/** Settings of a supervisor. */
export interface SupervisorOptions {
  readonly name: string;
  readonly clock: Clock;
  /** Is told of each failure. */
  readonly onFailure: (failure: TaskFailure) => void;
}

/**
 * Runs tasks and starts those again that fail, after a delay that doubles with each failure.
 * Supervisors form a tree: a child ends with its parent.
 */
export class Supervisor implements AsyncDisposable {
  readonly #options: SupervisorOptions;

  readonly #stop = new AbortController();

  readonly #running = new Set<Promise<void>>();

  readonly #children: Supervisor[] = [];

  constructor(options: SupervisorOptions) {
    this.#options = options;
  }

  /** Aborts at disposal. */
  get signal(): AbortSignal {
    return this.#stop.signal;
  }

  /** Makes a supervisor that ends with this one. */
  child(name: string): Supervisor {
    const child = new Supervisor({ ...this.#options, name: `${this.#options.name}/${name}` });
    this.#children.push(child);
    return child;
  }

  /** Starts a task. It is not started again once it has returned. */
  start(name: string, task: SupervisedTask): void {
    const running = this.#supervise(name, task).finally(() => this.#running.delete(running));
    this.#running.add(running);
  }

  /** Stops the children and all tasks and waits for them, at most one second. */
  async [Symbol.asyncDispose](): Promise<void> {
    for (const child of this.#children.toReversed()) await child[Symbol.asyncDispose]();
    this.#stop.abort();
    const limit = new AbortController();
    await Promise.race([
      Promise.all(this.#running),
      this.#options.clock.sleep(disposalMilliseconds, limit.signal),
    ]);
    limit.abort();
  }

  async #supervise(name: string, task: SupervisedTask): Promise<void> {
    const { clock, onFailure } = this.#options;
    let delayMilliseconds = firstRestartMilliseconds;
    while (!this.signal.aborted) {
      try {
        await task(this.signal);
        return;
      } catch (error) {
        if (this.signal.aborted) return;
        const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
        onFailure({ task: `${this.#options.name}/${name}`, detail, delayMilliseconds });
      }
      await clock.sleep(delayMilliseconds, this.signal);
      delayMilliseconds = Math.min(delayMilliseconds * 2, longestRestartMilliseconds);
    }
  }
}
