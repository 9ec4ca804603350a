import type { BackendServerEntry, LoadReport } from '@hickorybridge/types';
import { BackendServerLoad } from './BackendServerLoad.js';

/** Weight of a new report in the means of the service. */
const meanSmoothing = 0.02;
/** Share of its announced slots that a cold backend server is assumed to offer at first. */
const initialRampShare = 0.25;

/** Load of the backend servers of one service as seen by one router. */
export class ServiceLoad {
  readonly #servers = new Map<string, BackendServerLoad>();

  /** Mean ratio of queued and running requests to the limit. */
  meanUtilization = 0;

  /** Mean service time in milliseconds; 0 before the first report. */
  meanServiceMilliseconds = 0;

  #reports = 0;

  #retained: readonly BackendServerEntry[] = [];

  /** Returns the load of a backend server; a new incarnation starts without history. */
  loadOf(entry: BackendServerEntry, now: number): BackendServerLoad {
    const known = this.#servers.get(entry.backendServerId);
    if (known !== undefined && known.entry.incarnation === entry.incarnation) return known;
    const load = new BackendServerLoad(entry, now);
    this.#servers.set(entry.backendServerId, load);
    return load;
  }

  /** Updates the means of the service with a report. */
  recordReport(report: LoadReport): void {
    this.#reports += 1;
    const weight = Math.max(1 / this.#reports, meanSmoothing);
    const utilization = (report.inFlight + report.queued) / Math.max(1, report.limit);
    this.meanUtilization += weight * (utilization - this.meanUtilization);
    if (report.serviceMilliseconds <= 0) return;
    const first = this.meanServiceMilliseconds === 0;
    const difference = report.serviceMilliseconds - this.meanServiceMilliseconds;
    this.meanServiceMilliseconds += (first ? 1 : weight) * difference;
  }

  /** Drops the backend servers that are no longer in the directory. */
  retain(entries: readonly BackendServerEntry[]): void {
    if (entries === this.#retained) return;
    this.#retained = entries;
    const present = new Set(entries.map((entry) => entry.backendServerId));
    for (const id of this.#servers.keys()) if (!present.has(id)) this.#servers.delete(id);
  }
}

/** Estimates the limit of a backend server that has not reported one. */
export function expectedLimit(load: BackendServerLoad, now: number): number {
  const { slots, rampMilliseconds } = load.entry;
  const progress = rampMilliseconds <= 0 ? 1 : (now - load.firstSeenAt) / rampMilliseconds;
  const share = initialRampShare + (1 - initialRampShare) * Math.min(1, progress);
  return Math.max(1, Math.floor(slots * share));
}
