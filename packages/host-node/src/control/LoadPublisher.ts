import type { PeerPool } from '@hickorybridge/peer-protocol';
import { Distance, type LoadReport } from '@hickorybridge/types';

/** How often a changed load is told, in milliseconds. */
const intervalMilliseconds = 100;

/** Tells peers the load of the backend server beside this node when it changes. */
export class LoadPublisher implements AsyncDisposable {
  readonly #pool: PeerPool;

  readonly #load: () => LoadReport | undefined;

  readonly #timer: NodeJS.Timeout;

  #told = -1;

  constructor(pool: PeerPool, load: () => LoadReport | undefined) {
    this.#pool = pool;
    this.#load = load;
    this.#timer = setInterval(() => this.#publish(), intervalMilliseconds);
  }

  /** Tells the load of a host that has become slower or faster, which does not last long. */
  publishNow(): void {
    const report = this.#load();
    if (report !== undefined) this.#pool.sendLoad(report, Distance.sameRegion);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
  }

  #publish(): void {
    const report = this.#load();
    if (report === undefined) return;
    const occupied = report.inFlight + report.queued;
    if (occupied === this.#told) return;
    this.#pool.sendLoad(report, Distance.sameRegion);
    this.#told = occupied;
  }
}
