import type { LoadReport } from '@hickorybridge/types';
import type { HostSpeedModel } from '@hickorybridge/utils';

/** Weight of a new answer in the error rate. */
const errorSmoothing = 0.15;
/** Half-life of the error rate while there are no new answers. */
const errorHalfLifeMilliseconds = 3000;

/** Utilization assumed for a host without a recent report. */
const unknownUtilization = 0.5;

/** Load of one host's backend server as seen by this node. */
export class HostLoad {
  #report: LoadReport | undefined;

  #reportedAt = -Infinity;

  /** Requests that this node sent since the last report, which therefore does not include them. */
  #sentSinceReport = 0;

  #errorRate = 0;

  #errorRateAt = 0;

  /** Until when the host receives no requests, in monotonic milliseconds. */
  #avoidedUntil = 0;

  recordReport(report: LoadReport, now: number): void {
    this.#report = report;
    this.#reportedAt = now;
    this.#sentSinceReport = 0;
  }

  recordSent(): void {
    this.#sentSinceReport += 1;
  }

  /** Updates the error rate with an answer or a lost request, which counts as an error. */
  recordOutcome(failed: boolean, now: number): void {
    const rate = this.errorRate(now);
    this.#errorRate = rate + errorSmoothing * ((failed ? 1 : 0) - rate);
    this.#errorRateAt = now;
  }

  /** Excludes the host for some time after it refused a request. */
  avoid(milliseconds: number, now: number): void {
    this.#avoidedUntil = now + milliseconds;
  }

  /** Discards the report and the exclusion, which a new process or connection makes obsolete. */
  resetOnReconnect(): void {
    this.#avoidedUntil = 0;
    this.#report = undefined;
    this.#reportedAt = -Infinity;
  }

  /** Time since the last report, in milliseconds; infinite before the first report. */
  reportAgeAt(now: number): number {
    return now - this.#reportedAt;
  }

  isAvoided(now: number): boolean {
    return now < this.#avoidedUntil;
  }

  errorRate(now: number): number {
    return this.#errorRate * 2 ** ((this.#errorRateAt - now) / errorHalfLifeMilliseconds);
  }

  /** Work of requests at this host as a multiple of the usual work of their kinds. */
  get slowness(): number {
    const report = this.#report;
    return report === undefined ? 1 : (report.slowness ?? 1) / report.rampShare;
  }

  /**
   * Ratio of running and queued requests to the limit. The weight of a report decays with its age,
   * since the requests that were in flight then have ended.
   */
  utilizationAt(now: number): number {
    const report = this.#report;
    if (report === undefined) return unknownUtilization;
    const { inFlight, limit, queued, serviceMilliseconds } = report;
    const utilization = (inFlight + queued + this.#sentSinceReport) / Math.max(1, limit);
    const reportWeight = Math.exp(-this.reportAgeAt(now) / Math.max(1, serviceMilliseconds));
    return unknownUtilization + reportWeight * (utilization - unknownUtilization);
  }

  /** The last report, if it is not older than the given age. */
  recentReport(now: number, maxAgeMilliseconds: number): LoadReport | undefined {
    return this.reportAgeAt(now) <= maxAgeMilliseconds ? this.#report : undefined;
  }

  /** Predicts how long work that starts now takes at this host, in milliseconds. */
  expectedDuration(work: number, speed: HostSpeedModel, now: number): number {
    return speed.expectedDuration(work, this.#report?.workFactor, now - this.#reportedAt);
  }

  /**
   * Predicts how long a request waits for a slot, in milliseconds. The time since the report counts
   * as time in which the reported queue was processed. Calls (depth above 0) have priority over
   * queued requests and may use reserved slots.
   */
  expectedWait(speed: HostSpeedModel, now: number, depth = 0): number {
    const report = this.#report;
    if (report === undefined) return 0;
    const { inFlight, limit, queued, rampShare, reserved = 0, serviceMilliseconds } = report;
    const ahead = depth > 0 ? inFlight : inFlight + reserved + queued;
    const excess = ahead + this.#sentSinceReport + 1 - limit;
    if (excess <= 0) return 0;
    const work = (excess * serviceMilliseconds) / rampShare / Math.max(1, limit);
    return Math.max(0, this.expectedDuration(work, speed, now) - (now - this.#reportedAt));
  }
}
