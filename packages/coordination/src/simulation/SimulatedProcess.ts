import type { Clock } from '@hickorybridge/utils';

/** Clock of a process that can be paused, like a stopped process or one without CPU time. */
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

  /** Sleeps; a sleep that would end during a pause ends when the process resumes. */
  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(milliseconds, signal);
    await this.whenRunning();
  }

  /** Resolves when the process is not paused. */
  async whenRunning(): Promise<void> {
    while (this.#resumed !== undefined) await this.#resumed;
  }

  /** Pauses the process: its sleeps do not end and its messages are not handled. */
  pause(): void {
    this.#resumed ??= new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  /** Resumes the process. */
  resume(): void {
    this.#resumed = undefined;
    this.#resume?.();
  }
}
