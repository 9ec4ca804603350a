import type { BackendServerReport } from '@hickorybridge/types';

interface FirstReport {
  readonly backendServerId: string;
  readonly startedAt: number;
  readonly sequence: number;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

/** Reports that follow each other faster than this share of their interval were held up together. */
const minimumGapShare = 0.5;

/**
 * Decides whether a report shows that the backend server may be used, on a node that was just
 * started. A former process may have acknowledged a leave that nothing remembers, because the store
 * was away and all nodes were killed, and a report from before the leave may still arrive. A backend
 * server that has left sends no further reports, so a second one in sequence shows that it has not.
 */
export class ReportConfirmation {
  readonly #minimumGapMilliseconds: number;

  #isNeeded = true;

  #first: FirstReport | undefined;

  constructor(reportIntervalMilliseconds: number) {
    this.#minimumGapMilliseconds = reportIntervalMilliseconds * minimumGapShare;
  }

  /** Records that reports need no confirmation any more. */
  waive(): void {
    this.#isNeeded = false;
  }

  /** Takes in a report; returns whether its backend server may be used. */
  confirm(report: BackendServerReport, now: number): boolean {
    if (!this.#isNeeded) return true;
    const { backendServerId, sequence, startedAt } = report;
    const first = this.#first;
    if (first?.backendServerId !== backendServerId || first.startedAt !== startedAt) {
      this.#first = { backendServerId, sequence, startedAt, receivedAt: now };
      return false;
    }
    if (sequence <= first.sequence) return false;
    this.#first = { ...first, sequence };
    if (now - first.receivedAt < this.#minimumGapMilliseconds) return false;
    this.#isNeeded = false;
    return true;
  }
}
