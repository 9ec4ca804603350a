import type { Clock } from '@hickorybridge/utils';

/** The clock of one process that can be paused, as a stopped or starved process is. */
export class SimulatedProcess implements Clock {
  readonly #clock: Clock;

  #resumed: Promise<void> | undefined;

  #resume: (() => void) | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  now(): number {
    return this.#clock.now();
  }

  wallTime(): number {
    return this.#clock.wallTime();
  }

  /** Waits; a wait that ends during a pause ends when the process resumes. */
  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(milliseconds, signal);
    await this.whenRunning();
  }

  /** Waits until the process is not paused. */
  async whenRunning(): Promise<void> {
    while (this.#resumed !== undefined) await this.#resumed;
  }

  /** Stops the process: its waits do not end and its messages are not handled. */
  pause(): void {
    this.#resumed ??= new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  /** Lets the process go on. */
  resume(): void {
    this.#resumed = undefined;
    this.#resume?.();
  }
}
