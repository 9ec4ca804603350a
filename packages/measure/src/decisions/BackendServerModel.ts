import type { RandomSource } from '@hickorybridge/utils';
import { logNormal } from './scenarios.js';
import type { VirtualTime } from './VirtualTime.js';

/** A request at a modelled backend server. */
export interface ModelRun {
  readonly work: number;
  readonly done: () => void;
  /** Set when the request is cancelled; it frees its worker at once. */
  cancelled: boolean;
  running: boolean;
}

/** Spread (sigma of the logarithm) that each run adds, whatever the request. */
const runSpread = 0.4;

/** First-in-first-out queue with several workers, of which a neighbour can take some away. */
export class BackendServerModel {
  slowness = 1;

  workers: number;

  readonly #time: VirtualTime;

  readonly #random: RandomSource;

  readonly #waiting: ModelRun[] = [];

  #running = 0;

  constructor(time: VirtualTime, random: RandomSource, slots: number) {
    this.#time = time;
    this.#random = random;
    this.workers = slots;
  }

  start(run: ModelRun): void {
    this.#waiting.push(run);
    this.startWaiting();
  }

  cancel(run: ModelRun): void {
    if (run.cancelled) return;
    Object.assign(run, { cancelled: true });
    if (run.running) this.#end();
  }

  /** Starts waiting requests while there are free workers. */
  startWaiting(): void {
    while (this.#running < this.workers) {
      const run = this.#waiting.shift();
      if (run === undefined) return;
      if (!run.cancelled) this.#run(run);
    }
  }

  #run(run: ModelRun): void {
    Object.assign(run, { running: true });
    this.#running += 1;
    const duration = run.work * this.slowness * logNormal(runSpread, this.#random);
    this.#time.after(duration, () => {
      if (run.cancelled) return;
      this.#end();
      run.done();
    });
  }

  #end(): void {
    this.#running -= 1;
    this.startWaiting();
  }
}
