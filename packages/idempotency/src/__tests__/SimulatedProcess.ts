import type { SimulatedClock } from '@hickorybridge/coordination';
import type { ControlHandler } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { HolderCandidate } from '../claimView.js';

/** One run of a simulated process. A paused one neither receives messages nor runs timers. */
export class SimulatedProcess {
  readonly clock: Clock;

  readonly handlers = new Map<string, ControlHandler>();

  isAlive = true;

  wallClockError = 0;

  #pausedUntil = 0;

  constructor(
    readonly identity: HolderCandidate,
    readonly time: SimulatedClock,
  ) {
    // Monotonic clocks of different processes have nothing to do with each other.
    const clockOffset = identity.incarnation * 1_234_567;
    this.clock = {
      now: () => time.now() + clockOffset,
      wallTime: () => 1_700_000_000_000 + time.now() + this.wallClockError,
      sleep: (milliseconds, signal) => this.#sleep(milliseconds, signal),
    };
  }

  pause(milliseconds: number): void {
    this.#pausedUntil = Math.max(this.#pausedUntil, this.time.now() + milliseconds);
  }

  /** Runs a step now, or when the process is resumed; never after its end. */
  whenRunning(step: () => void): void {
    if (!this.isAlive) return;
    const rest = this.#pausedUntil - this.time.now();
    if (rest <= 0) step();
    else this.time.sleep(rest).then(() => this.whenRunning(step));
  }

  async #sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    await this.time.sleep(milliseconds, signal);
    return new Promise((resolve) => {
      this.whenRunning(resolve);
    });
  }
}
