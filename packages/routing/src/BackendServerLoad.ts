import type { BackendServerEntry, LoadReport } from '@hickorybridge/types';

/** Number of recent send times kept, to count the tries that a report does not include yet. */
const sendTimeCapacity = 32;
/** Weight of a new sample in the response time; a straggler is detected within a few answers. */
const responseTimeSmoothing = 0.25;
/** Weight of a new sample in the failure rate. */
const failureSmoothing = 0.2;

/** Load of one backend server as seen by one router. Times are monotonic milliseconds. */
export class BackendServerLoad {
  report: LoadReport | undefined;

  reportSampledAt = 0;

  /** Tries that this router sent since the last report was sampled. */
  sentSinceReport = 0;

  /** Tries of this router without an answer. */
  outstanding = 0;

  /** Smoothed response time without the network delay, in milliseconds; 0 when unknown. */
  responseMilliseconds = 0;

  /** Smoothed share of refused, lost or failed tries, from 0 to 1. */
  failureRate = 0;

  failureRateAt = 0;

  /** When the last try ended, or the first of the outstanding tries was sent. */
  lastProgressAt = 0;

  readonly firstSeenAt: number;

  readonly #sendTimes = new Float64Array(sendTimeCapacity);

  #sentCount = 0;

  constructor(
    readonly entry: BackendServerEntry,
    now: number,
  ) {
    this.firstSeenAt = now;
  }

  recordSent(now: number): void {
    if (this.outstanding === 0) this.lastProgressAt = now;
    this.outstanding += 1;
    this.sentSinceReport += 1;
    this.#sendTimes[this.#sentCount % sendTimeCapacity] = now;
    this.#sentCount += 1;
  }

  recordFinished(now: number): void {
    this.outstanding = Math.max(0, this.outstanding - 1);
    this.sentSinceReport = Math.min(this.sentSinceReport, this.outstanding);
    this.lastProgressAt = now;
  }

  /** Stores a report unless a later one is known. It cannot include tries sent after `sampledAt`. */
  recordReport(report: LoadReport, sampledAt: number): void {
    if (sampledAt < this.reportSampledAt) return;
    this.report = report;
    this.reportSampledAt = sampledAt;
    this.sentSinceReport = Math.min(this.outstanding, this.#sentAfter(sampledAt));
  }

  recordResponseTime(milliseconds: number): void {
    const weight = this.responseMilliseconds === 0 ? 1 : responseTimeSmoothing;
    this.responseMilliseconds += weight * (milliseconds - this.responseMilliseconds);
  }

  /** Records a try as failed (1) or not (0). */
  recordOutcome(failure: 0 | 1, now: number): void {
    this.failureRate += failureSmoothing * (failure - this.failureRate);
    this.failureRateAt = now;
  }

  #sentAfter(time: number): number {
    let count = 0;
    for (let index = 0; index < Math.min(this.#sentCount, sendTimeCapacity); index += 1) {
      if ((this.#sendTimes[index] ?? 0) > time) count += 1;
    }
    return count;
  }
}
