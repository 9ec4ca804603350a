import type { OccupancySummary, RefusalSummary } from '@hickorybridge/admission';
import type { Logger } from '@hickorybridge/logger';

export interface OccupancyReporterOptions {
  /** Returns the usage of the backend server since the previous call, if there is a backend server. */
  readonly takeOccupancy: () => OccupancySummary | undefined;
  /** Returns the refusals of tenants since the previous call, if there is a backend server. */
  readonly takeRefusals: () => RefusalSummary | undefined;
  /** Called with each summary of refusals, for the metrics. */
  readonly onRefusals: (summary: RefusalSummary) => void;
  /** Called with each summary, for the metrics. */
  readonly onSummary: (summary: OccupancySummary) => void;
  readonly logger: Logger;
}

/** One line a second shows whether a host is busy, at 250 bytes a second for each node. */
const reportIntervalMilliseconds = 1000;

/** Reports the usage of the backend server to the metrics, and to the log while it is in use. */
export class OccupancyReporter implements AsyncDisposable {
  readonly #options: OccupancyReporterOptions;

  readonly #timer: NodeJS.Timeout;

  constructor(options: OccupancyReporterOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#report(), reportIntervalMilliseconds);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
  }

  #report(): void {
    this.#reportRefusals();
    const { logger, onSummary, takeOccupancy } = this.#options;
    const summary = takeOccupancy();
    if (summary === undefined) return;
    onSummary(summary);
    if (summary.inFlightMilliseconds === 0 && summary.waitingMilliseconds === 0) return;
    logger.info('backend-server-usage', 'usage of the backend server since the previous summary', {
      milliseconds: Math.round(summary.milliseconds),
      admitted: summary.admitted,
      inFlightMilliseconds: Math.round(summary.inFlightMilliseconds),
      waitingMilliseconds: Math.round(summary.waitingMilliseconds),
      fullMilliseconds: Math.round(summary.fullMilliseconds),
      limit: summary.limit,
    });
  }

  #reportRefusals(): void {
    const { logger, onRefusals, takeRefusals } = this.#options;
    const summary = takeRefusals();
    if (summary === undefined || summary.refusalsByPriority.size === 0) return;
    onRefusals(summary);
    const { mostRefusals, mostRefusedTenant, refusalsByPriority } = summary;
    logger.info('tenants-refused', 'requests of tenants were refused for lack of a slot', {
      refusals: [...refusalsByPriority.values()].reduce((sum, count) => sum + count, 0),
      mostRefusedTenant,
      mostRefusals,
    });
  }
}
