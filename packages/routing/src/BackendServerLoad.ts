import type { BackendServerEntry, LoadReport } from '@hickorybridge/types';

/** Tries whose send times are remembered, to count those that a report cannot contain yet. */
const rememberedSends = 32;
/** Share of a new sample in the smoothed response time: a straggler shows within a few answers. */
const responseSmoothing = 0.25;
/** Share of a new sample in the failure share. */
const failureSmoothing = 0.2;

/** What one router knows of one backend server. Times are monotonic milliseconds. */
export class BackendServerLoad {
  report: LoadReport | undefined;

  reportAt = 0;

  /** Own tries sent since the last report was sampled. */
  ownSince = 0;

  /** Own tries without an answer. */
  outstanding = 0;

  /** Smoothed response time without the network delay, in milliseconds; 0 when unknown. */
  responseMilliseconds = 0;

  /** Share of refused, lost or failed tries, from 0 to 1. */
  failureShare = 0;

  failureAt = 0;

  /** When the last answer came, or the first of the outstanding tries was sent. */
  progressAt = 0;

  /** When this router first saw the backend server. */
  readonly firstSeenAt: number;

  readonly #sendTimes = new Float64Array(rememberedSends);

  #sends = 0;

  constructor(
    readonly entry: BackendServerEntry,
    now: number,
  ) {
    this.firstSeenAt = now;
  }

  sent(now: number): void {
    if (this.outstanding === 0) this.progressAt = now;
    this.outstanding += 1;
    this.ownSince += 1;
    this.#sendTimes[this.#sends % rememberedSends] = now;
    this.#sends += 1;
  }

  ended(now: number): void {
    this.outstanding = Math.max(0, this.outstanding - 1);
    this.ownSince = Math.min(this.ownSince, this.outstanding);
    this.progressAt = now;
  }

  /** Takes in a report that was sampled at a time, which tries sent later cannot be part of. */
  reported(report: LoadReport, sampledAt: number): void {
    if (sampledAt < this.reportAt) return;
    this.report = report;
    this.reportAt = sampledAt;
    this.ownSince = Math.min(this.outstanding, this.#sentAfter(sampledAt));
  }

  responded(milliseconds: number): void {
    const share = this.responseMilliseconds === 0 ? 1 : responseSmoothing;
    this.responseMilliseconds += share * (milliseconds - this.responseMilliseconds);
  }

  /** Counts a try as failed (1) or not (0). */
  failed(failure: 0 | 1, now: number): void {
    this.failureShare += failureSmoothing * (failure - this.failureShare);
    this.failureAt = now;
  }

  #sentAfter(time: number): number {
    let count = 0;
    for (let index = 0; index < Math.min(this.#sends, rememberedSends); index += 1) {
      if ((this.#sendTimes[index] ?? 0) > time) count += 1;
    }
    return count;
  }
}
