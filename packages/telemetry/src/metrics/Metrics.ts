import type { Outcome } from '@hickorybridge/types';
import { Counter } from './Counter.js';
import { LatencyHistogram } from './LatencyHistogram.js';
import { metricDefinitions } from './metricDefinitions.js';
import { MetricFamily } from './MetricFamily.js';
import { renderCounters, renderHistograms, renderNumber } from './renderMetrics.js';

const microsecondsPerSecond = 1_000_000;

/** Names of the gauges, whose values are read when the metrics are rendered. */
export type GaugeName = {
  [Name in keyof typeof metricDefinitions]: (typeof metricDefinitions)[Name]['type'] extends 'gauge'
    ? Name
    : never;
}[keyof typeof metricDefinitions];

/** Quantiles of one kind since the start of the process, in milliseconds. */
export interface KindLatency {
  readonly service: string;
  readonly kind: string;
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

/** The metrics of one node. */
export class Metrics {
  readonly requests = new MetricFamily(metricDefinitions.requests, () => new Counter());

  readonly problems = new MetricFamily(metricDefinitions.problems, () => new Counter());

  readonly tries = new MetricFamily(metricDefinitions.tries, () => new Counter());

  readonly hedges = new MetricFamily(metricDefinitions.hedges, () => new Counter());

  readonly refusals = new MetricFamily(metricDefinitions.refusals, () => new Counter());

  readonly controlBytes = new MetricFamily(metricDefinitions.controlBytes, () => new Counter());

  readonly storeCalls = new MetricFamily(metricDefinitions.storeCalls, () => new Counter());

  readonly requestDuration = new MetricFamily(
    metricDefinitions.requestDuration,
    () => new LatencyHistogram(),
  );

  readonly admittedDuration = new MetricFamily(
    metricDefinitions.admittedDuration,
    () => new LatencyHistogram(),
  );

  readonly #gauges = new Map<GaugeName, () => number>([
    ['residentMemory', () => process.memoryUsage.rss()],
  ]);

  /** Counts a finished request of a caller. Makes no objects once the kind is known. */
  requestFinished(service: string, kind: string, outcome: Outcome, milliseconds: number): void {
    this.requests.at(service, kind, outcome).add();
    this.requestDuration.at(service, kind).record(milliseconds);
  }

  /** Registers how a gauge is read; a second function for a gauge replaces the first. */
  gauge(name: GaugeName, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Gives the quantiles of every kind that had requests. */
  latencies(): KindLatency[] {
    return this.requestDuration.list().map(({ labelValues, instrument }) => ({
      service: labelValues[0] ?? '',
      kind: labelValues[1] ?? '',
      count: instrument.count,
      p50: instrument.quantile(0.5),
      p99: instrument.quantile(0.99),
      p999: instrument.quantile(0.999),
    }));
  }

  /** Renders all metrics in the text format of Prometheus. */
  render(): string {
    const counters = [
      this.requests,
      this.problems,
      this.tries,
      this.hedges,
      this.refusals,
      this.controlBytes,
      this.storeCalls,
    ];
    const { user, system } = process.cpuUsage();
    return [
      ...counters.map(renderCounters),
      renderHistograms(this.requestDuration),
      renderHistograms(this.admittedDuration),
      ...[...this.#gauges].map(([name, read]) => renderNumber(metricDefinitions[name], read())),
      renderNumber(metricDefinitions.processorTime, (user + system) / microsecondsPerSecond),
    ].join('');
  }
}

/** Makes the metrics of one node. */
export function createMetrics(): Metrics {
  return new Metrics();
}
