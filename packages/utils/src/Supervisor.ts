import type { Clock } from './clock.js';

const initialRestartDelayMilliseconds = 200;
const maxRestartDelayMilliseconds = 30_000;

// Keeps a task that ignores its abort signal from blocking process shutdown.
const disposalTimeoutMilliseconds = 1000;

/** A task that runs until its signal aborts. */
export type SupervisedTask = (signal: AbortSignal) => Promise<void>;

/** Reports a task that failed and will be restarted after a delay. */
export interface TaskFailure {
  /** Names of the supervisors and the task, from the root, joined by `/`. */
  readonly task: string;
  /** Stack or message of the error. */
  readonly detail: string;
  readonly delayMilliseconds: number;
}

export interface SupervisorOptions {
  readonly name: string;
  readonly clock: Clock;
  /** Called on each task failure. */
  readonly onFailure: (failure: TaskFailure) => void;
}

/**
 * Runs tasks and restarts those that fail, after a delay that doubles with each failure.
 * Supervisors form a tree: disposing of a parent also disposes of its children.
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

  /** Creates a supervisor that is disposed of together with this one. */
  child(name: string): Supervisor {
    const child = new Supervisor({ ...this.#options, name: `${this.#options.name}/${name}` });
    this.#children.push(child);
    return child;
  }

  /** Starts a task. It is restarted when it throws, but not once it has returned. */
  start(name: string, task: SupervisedTask): void {
    const running = this.#supervise(name, task).finally(() => this.#running.delete(running));
    this.#running.add(running);
  }

  /** Disposes of the children, then aborts the tasks and waits up to one second for them to end. */
  async [Symbol.asyncDispose](): Promise<void> {
    for (const child of this.#children.toReversed()) await child[Symbol.asyncDispose]();
    this.#stop.abort();
    const limit = new AbortController();
    await Promise.race([
      Promise.all(this.#running),
      this.#options.clock.sleep(disposalTimeoutMilliseconds, limit.signal),
    ]);
    limit.abort();
  }

  async #supervise(name: string, task: SupervisedTask): Promise<void> {
    const { clock, onFailure } = this.#options;
    let delayMilliseconds = initialRestartDelayMilliseconds;
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
      delayMilliseconds = Math.min(delayMilliseconds * 2, maxRestartDelayMilliseconds);
    }
  }
}
