import type { PeerPool } from '@hickorybridge/peer-protocol';
import { Distance, type LoadReport } from '@hickorybridge/types';

/** How often a changed load is told, in milliseconds. */
const intervalMilliseconds = 100;
/** Reports to other failure domains are paid for, so only every so many goes there. */
const wideEvery = 4;
/** Requests by which the load has to differ from what was told last. */
const minimumChange = 1;

/** Tells peers the load of the backend server beside this node when it changes. */
export class LoadPublisher implements AsyncDisposable {
  readonly #pool: PeerPool;

  readonly #load: () => LoadReport | undefined;

  readonly #timer: NodeJS.Timeout;

  #round = 0;

  #toldNear = -1;

  #toldWide = -1;

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
    this.#round += 1;
    const report = this.#load();
    if (report === undefined) return;
    const occupied = report.inFlight + report.queued;
    const wide = this.#round % wideEvery === 0 && differs(occupied, this.#toldWide);
    if (wide) {
      this.#pool.sendLoad(report, Distance.sameRegion);
      this.#toldWide = occupied;
      this.#toldNear = occupied;
    } else if (differs(occupied, this.#toldNear)) {
      this.#pool.sendLoad(report, Distance.sameFailureDomain);
      this.#toldNear = occupied;
    }
  }
}

function differs(occupied: number, told: number): boolean {
  return Math.abs(occupied - told) >= minimumChange;
}
