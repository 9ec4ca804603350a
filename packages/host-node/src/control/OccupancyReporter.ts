import type { OccupancySummary } from '@hickorybridge/admission';
import type { Logger } from '@hickorybridge/logger';

/** What the log needs. */
export interface OccupancyReporterOptions {
  /** How the backend server beside this node was used since the last call, if there is one. */
  readonly takeOccupancy: () => OccupancySummary | undefined;
  /** Is told each summary, for the metrics. */
  readonly onSummary: (summary: OccupancySummary) => void;
  readonly logger: Logger;
}

/** One line a second tells a busy host from an idle one, at 250 bytes a second a node. */
const reportIntervalMilliseconds = 1000;

/** Logs how the backend server beside this node is used, while it is in use. */
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
    const { logger, onSummary, takeOccupancy } = this.#options;
    const summary = takeOccupancy();
    if (summary === undefined) return;
    onSummary(summary);
    if (summary.inFlightMilliseconds === 0 && summary.waitingMilliseconds === 0) return;
    logger.info('backend-server-usage', 'how the backend server was used since the last line', {
      milliseconds: Math.round(summary.milliseconds),
      admitted: summary.admitted,
      inFlightMilliseconds: Math.round(summary.inFlightMilliseconds),
      waitingMilliseconds: Math.round(summary.waitingMilliseconds),
      fullMilliseconds: Math.round(summary.fullMilliseconds),
      limit: summary.limit,
    });
  }
}
