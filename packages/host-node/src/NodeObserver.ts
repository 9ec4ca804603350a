import type { OccupancySummary } from '@hickorybridge/admission';
import type { Logger } from '@hickorybridge/logger';
import { Counter, LatencyHistogram } from '@hickorybridge/telemetry';

import type { FinishedRequest } from './callers/CallersListener.js';

/** Logs and counts what a node does. */
export class NodeObserver {
  readonly #logger: Logger;

  readonly #requests = new Map<string, Counter>();

  readonly #durations = new Map<string, LatencyHistogram>();

  readonly #storeCalls = new Map<string, Counter>();

  /** Seconds in flight and waiting are summed over requests. */
  readonly #usage = { inFlightSeconds: 0, waitingSeconds: 0, fullSeconds: 0 };

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  storeCalled(operation: string, result: string): void {
    counterOf(this.#storeCalls, `operation="${operation}",result="${result}"`).add();
  }

  /** Sums up how the backend server was used. */
  backendServerUsed(summary: OccupancySummary): void {
    this.#usage.inFlightSeconds += summary.inFlightMilliseconds / 1000;
    this.#usage.waitingSeconds += summary.waitingMilliseconds / 1000;
    this.#usage.fullSeconds += summary.fullMilliseconds / 1000;
  }

  finished({ depth, milliseconds, outcome, requestId, route, service }: FinishedRequest): void {
    const name = route?.name ?? '';
    const result = outcome.type === 'answered' ? String(outcome.head.status) : outcome.reason;
    counterOf(this.#requests, `route="${name}",result="${result}"`).add();
    this.#durationOf(name).record(milliseconds);
    const isLate = route !== undefined && milliseconds > route.targetMilliseconds;
    if (outcome.type === 'answered' && outcome.head.status < 500 && !isLate) return;
    this.#logger.info('request-finished', 'a request failed or was late', {
      requestId,
      route: name,
      service,
      result,
      mayHaveRun: outcome.type === 'answered' ? true : outcome.mayHaveRun,
      detail: outcome.type === 'answered' ? undefined : outcome.detail,
      returnMilliseconds:
        outcome.type === 'answered' ? undefined : Math.round(outcome.returnMilliseconds ?? 0),
      milliseconds: Math.round(milliseconds),
      target: route?.targetMilliseconds,
      depth,
    });
  }

  /** Renders all metrics in the text format of Prometheus. */
  render(): string {
    const lines = [
      ...renderCounters('hickorybridge_requests_total', this.#requests),
      ...renderCounters('hickorybridge_store_calls_total', this.#storeCalls),
    ];
    for (const [route, histogram] of this.#durations) {
      const label = `route="${route}"`;
      const name = 'hickorybridge_request_duration_seconds';
      for (const quantile of [0.5, 0.99]) {
        const seconds = histogram.quantile(quantile) / 1000;
        lines.push(`${name}{${label},quantile="${quantile}"} ${seconds}`);
      }
      lines.push(`${name}_sum{${label}} ${histogram.sumMilliseconds / 1000}`);
      lines.push(`${name}_count{${label}} ${histogram.count}`);
    }
    const { fullSeconds, inFlightSeconds, waitingSeconds } = this.#usage;
    lines.push(
      `hickorybridge_requests_in_flight_seconds_total ${inFlightSeconds}`,
      `hickorybridge_requests_waiting_seconds_total ${waitingSeconds}`,
      `hickorybridge_backend_server_full_seconds_total ${fullSeconds}`,
    );
    lines.push(`hickorybridge_resident_memory_bytes ${process.memoryUsage.rss()}`);
    return `${lines.join('\n')}\n`;
  }

  #durationOf(route: string): LatencyHistogram {
    const known = this.#durations.get(route);
    if (known !== undefined) return known;
    const histogram = new LatencyHistogram();
    this.#durations.set(route, histogram);
    return histogram;
  }
}

function counterOf(counters: Map<string, Counter>, labels: string): Counter {
  const known = counters.get(labels);
  if (known !== undefined) return known;
  const counter = new Counter();
  counters.set(labels, counter);
  return counter;
}

function renderCounters(name: string, counters: ReadonlyMap<string, Counter>): string[] {
  return [...counters].map(([labels, counter]) => `${name}{${labels}} ${counter.value}`);
}
