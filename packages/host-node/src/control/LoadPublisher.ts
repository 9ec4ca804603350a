import type { LoadAudience, PeerPool } from '@hickorybridge/peer-protocol';
import { LoadUpdates } from '@hickorybridge/routing';
import { Distance, type LoadReport } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

/** How often the load is looked at, in milliseconds; the shortest interval of updates. */
const intervalMilliseconds = 100;
/** Peers that sent no request for this long are told nothing, in milliseconds. */
const audienceMilliseconds = 3000;

/** Tells the peers that use this host the load of its backend server when it changes. */
export class LoadPublisher implements AsyncDisposable {
  readonly #pool: PeerPool;

  readonly #load: () => LoadReport | undefined;

  readonly #clock: Clock;

  readonly #updates = new LoadUpdates();

  readonly #timer: NodeJS.Timeout;

  constructor(pool: PeerPool, load: () => LoadReport | undefined, clock: Clock) {
    this.#pool = pool;
    this.#load = load;
    this.#clock = clock;
    this.#timer = setInterval(() => this.publish(), intervalMilliseconds);
  }

  /** Tells the load, unless it is as good as known or was told just now. */
  publish(): void {
    const report = this.#load();
    if (report === undefined) return;
    const now = this.#clock.now();
    const audience: LoadAudience = {
      farthest: Distance.sameRegion,
      usedSince: now - audienceMilliseconds,
    };
    if (!this.#updates.take(report, this.#pool.countUsers(audience), now)) return;
    this.#pool.sendLoad(report, audience);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
  }
}
