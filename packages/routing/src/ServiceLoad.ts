import type { BackendServerEntry, LoadReport } from '@hickorybridge/types';
import { BackendServerLoad } from './BackendServerLoad.js';

/** Share of a new report in the means of the service. */
const meanSmoothing = 0.02;
/** Share of the announced slots that a cold backend server is expected to offer. */
const initialRampShare = 0.25;

/** What one router knows of the backend servers of one service. */
export class ServiceLoad {
  readonly #servers = new Map<string, BackendServerLoad>();

  /** Mean of queued and running requests for each place under the limit. */
  meanUse = 0;

  /** Mean service time in milliseconds; 0 before the first report. */
  meanServiceMilliseconds = 0;

  #reports = 0;

  #retained: readonly BackendServerEntry[] = [];

  /** Gives the load of a backend server; a new announcement starts without one. */
  of(entry: BackendServerEntry, now: number): BackendServerLoad {
    const known = this.#servers.get(entry.backendServerId);
    if (known !== undefined && known.entry.incarnation === entry.incarnation) return known;
    const load = new BackendServerLoad(entry, now);
    this.#servers.set(entry.backendServerId, load);
    return load;
  }

  /** Takes a report into the means of the service. */
  reported(report: LoadReport): void {
    this.#reports += 1;
    const share = Math.max(1 / this.#reports, meanSmoothing);
    const use = (report.inFlight + report.queued) / Math.max(1, report.limit);
    this.meanUse += share * (use - this.meanUse);
    if (report.serviceMilliseconds <= 0) return;
    const first = this.meanServiceMilliseconds === 0;
    const difference = report.serviceMilliseconds - this.meanServiceMilliseconds;
    this.meanServiceMilliseconds += (first ? 1 : share) * difference;
  }

  /** Forgets the backend servers that are not in the directory any more. */
  retain(entries: readonly BackendServerEntry[]): void {
    if (entries === this.#retained) return;
    this.#retained = entries;
    const present = new Set(entries.map((entry) => entry.backendServerId));
    for (const id of this.#servers.keys()) if (!present.has(id)) this.#servers.delete(id);
  }
}

/** Limit that a backend server is expected to have when there is no report of it. */
export function expectedLimit(load: BackendServerLoad, now: number): number {
  const { slots, rampMilliseconds } = load.entry;
  const progress = rampMilliseconds <= 0 ? 1 : (now - load.firstSeenAt) / rampMilliseconds;
  const share = initialRampShare + (1 - initialRampShare) * Math.min(1, progress);
  return Math.max(1, Math.floor(slots * share));
}
