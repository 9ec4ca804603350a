import type { FlightRecorder, Metrics, Tracer } from '@hickorybridge/telemetry';

/** Where a node records what it does. */
export interface Observability {
  readonly metrics: Metrics;
  readonly flights: FlightRecorder;
  readonly tracer: Tracer;
}
