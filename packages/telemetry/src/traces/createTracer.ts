import type { Location } from '@hickorybridge/types';
import { noTracer } from './Tracer.js';
import type { Tracer } from './Tracer.js';

/** Settings of a node's tracer. */
export interface TracerOptions extends Location {
  readonly nodeId: string;
  /** OTLP over HTTP; without it nothing is traced and no library is loaded. */
  readonly otlpUrl?: string | undefined;
  /** Share of new traces that are kept whole, from 0 to 1. */
  readonly sampleShare: number;
}

/** Makes a tracer. The OpenTelemetry libraries take several megabytes, so they load on demand. */
export async function createTracer(options: TracerOptions): Promise<Tracer> {
  const { otlpUrl } = options;
  if (otlpUrl === undefined) return noTracer;
  const { ExportingTracer } = await import('./ExportingTracer.js');
  return new ExportingTracer({ ...options, otlpUrl });
}
