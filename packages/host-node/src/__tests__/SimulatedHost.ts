import type { HostEntry, LoadReport } from '@hickorybridge/types';

/** A simulated backend server with its queue and its load report. */
export class SimulatedHost {
  inFlight = 0;

  readonly queue: (() => void)[] = [];

  readonly entry: HostEntry;

  readonly #workMilliseconds: number;

  constructor(entry: HostEntry, workMilliseconds: number) {
    this.entry = entry;
    this.#workMilliseconds = workMilliseconds;
  }

  get report(): LoadReport {
    return {
      limit: this.entry.slots,
      inFlight: this.inFlight,
      queued: this.queue.length,
      serviceMilliseconds: this.#workMilliseconds,
      rampShare: 1,
    };
  }

  get isFull(): boolean {
    return this.inFlight >= this.entry.slots;
  }

  /** Accepts a request, which is queued while all slots are in use; `run` processes it. */
  accept(run: (done: () => void) => void): void {
    const start = () => {
      this.inFlight += 1;
      run(() => this.#finish());
    };
    if (this.isFull) this.queue.push(start);
    else start();
  }

  #finish(): void {
    this.inFlight -= 1;
    this.queue.shift()?.();
  }
}
