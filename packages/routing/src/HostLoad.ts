import type { LoadReport } from '@hickorybridge/types';
import type { HostSpeedModel } from '@hickorybridge/utils';

/** Share of a new answer in the share of errors. */
const errorSmoothing = 0.15;
/** Time after which an observed share of errors has halved without new answers, in milliseconds. */
const errorHalfLifeMilliseconds = 3000;

/** Assumed share of the limit in use at a host that has told nothing lately. */
const unknownCrowding = 0.5;

/** What this node knows of the load of one host's backend server. */
export class HostLoad {
  #report: LoadReport | undefined;

  #reportedAt = -Infinity;

  /** Requests of this node since the last report, which that report does not count. */
  #sentSinceReport = 0;

  #errorShare = 0;

  #errorsAt = 0;

  /** Until when the host is passed over, in monotonic milliseconds. */
  #avoidedUntil = 0;

  recordReport(report: LoadReport, now: number): void {
    this.#report = report;
    this.#reportedAt = now;
    this.#sentSinceReport = 0;
  }

  /** Counts a request that was sent. */
  recordSent(): void {
    this.#sentSinceReport += 1;
  }

  /** Counts an answer, or a loss, which says as much as an error. */
  recordOutcome(failed: boolean, now: number): void {
    const share = this.errorShare(now);
    this.#errorShare = share + errorSmoothing * ((failed ? 1 : 0) - share);
    this.#errorsAt = now;
  }

  /** Passes the host over for some time, because it refused. */
  avoid(milliseconds: number, now: number): void {
    this.#avoidedUntil = now + milliseconds;
  }

  /** The host has a new process or a new connection: what was known of it does not hold any more. */
  reconnected(): void {
    this.#avoidedUntil = 0;
    this.#report = undefined;
    this.#reportedAt = -Infinity;
  }

  /** Time since the last report, in milliseconds; infinite before the first. */
  ageAt(now: number): number {
    return now - this.#reportedAt;
  }

  isAvoided(now: number): boolean {
    return now < this.#avoidedUntil;
  }

  errorShare(now: number): number {
    return this.#errorShare * 2 ** ((this.#errorsAt - now) / errorHalfLifeMilliseconds);
  }

  /** Work of requests there as a multiple of what is usual for their kinds. */
  get slowness(): number {
    const report = this.#report;
    return report === undefined ? 1 : (report.slowness ?? 1) / report.rampShare;
  }

  /**
   * Share of the limit that is in use or waited for. An old report tells nothing of it, since all
   * that was in flight then has ended.
   */
  crowdingAt(now: number): number {
    const report = this.#report;
    if (report === undefined) return unknownCrowding;
    const { inFlight, limit, queued, serviceMilliseconds } = report;
    const crowding = (inFlight + queued + this.#sentSinceReport) / Math.max(1, limit);
    const stillHolds = Math.exp(-this.ageAt(now) / Math.max(1, serviceMilliseconds));
    return unknownCrowding + stillHolds * (crowding - unknownCrowding);
  }

  /** Predicts how long work takes there that starts now, in milliseconds. */
  expectedDuration(work: number, speed: HostSpeedModel, now: number): number {
    return speed.expectedDuration(work, this.#report?.workFactor, now - this.#reportedAt);
  }

  /**
   * Predicts how long a request waits there for a slot. A queue that was reported some time ago is
   * assumed to have been worked off since. Calls go first and may take each slot.
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
