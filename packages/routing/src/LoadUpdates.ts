import type { LoadReport } from '@hickorybridge/types';

/** A changed load is told this often at most, in milliseconds; half of a short request's time. */
const shortestIntervalMilliseconds = 100;
/** Updates that one node sends each second at most, about 4 KB, however many nodes use it. */
const maxUpdatesPerSecond = 60;
/** A host counts as slow above this factor, which is where slow spells begin. */
const slowFactor = 1.5;

/**
 * Decides when the nodes that use a host are told its load. They choose a host by the wait that a
 * request would meet there, so a change that leaves that wait at zero is not worth an update.
 */
export class LoadUpdates {
  #toldAt = -Infinity;

  #toldExcess = 0;

  #toldSlow = false;

  /** Whether a number of nodes are to be told a report now; they count as told then. */
  take(report: LoadReport, users: number, now: number): boolean {
    const excess = Math.max(
      0,
      report.inFlight + report.queued + 1 + (report.reserved ?? 0) - report.limit,
    );
    const slow = (report.workFactor ?? 1) > slowFactor;
    if (users === 0 || (excess === this.#toldExcess && slow === this.#toldSlow)) return false;
    if (now - this.#toldAt < intervalFor(users)) return false;
    this.#toldAt = now;
    this.#toldExcess = excess;
    this.#toldSlow = slow;
    return true;
  }
}

function intervalFor(users: number): number {
  return Math.max(shortestIntervalMilliseconds, (users / maxUpdatesPerSecond) * 1000);
}
