import {
  ROOT_CONTEXT,
  trace,
  TraceFlags,
  type Context,
  type Tracer as ApiTracer,
} from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { resourceFromAttributes } from '@opentelemetry/resources';
import {
  AlwaysOnSampler,
  BasicTracerProvider,
  BatchSpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import { ExportedSpan } from './ExportedSpan.js';
import { KeepingSpanProcessor, keptAttribute } from './KeepingSpanProcessor.js';
import type { TraceContext } from './traceContext.js';
import { parseTraceparent } from './traceContext.js';
import type { Span, SpanStart, Tracer } from './Tracer.js';
import type { TracerOptions } from './createTracer.js';

const exportTimeoutMilliseconds = 5_000;
// Bounds the memory when the target is slow or down; further spans are dropped.
const maxQueuedSpans = 2_048;
const twoToThe32 = 0x1_0000_0000;

/** Makes spans with the OpenTelemetry SDK and exports them by OTLP over HTTP. */
export class ExportingTracer implements Tracer {
  readonly #provider: BasicTracerProvider;

  readonly #tracer: ApiTracer;

  readonly #sampleShare: number;

  constructor(options: TracerOptions & { readonly otlpUrl: string }) {
    const exporter = new OTLPTraceExporter({
      url: options.otlpUrl,
      timeoutMillis: exportTimeoutMilliseconds,
    });
    const batch = new BatchSpanProcessor(exporter, { maxQueueSize: maxQueuedSpans });
    this.#provider = new BasicTracerProvider({
      resource: resourceFromAttributes({
        'service.name': 'hickorybridge',
        'service.instance.id': options.nodeId,
        'cloud.region': options.region,
        'cloud.availability_zone': options.failureDomain,
      }),
      sampler: new AlwaysOnSampler(),
      spanProcessors: [new KeepingSpanProcessor(batch)],
    });
    this.#tracer = this.#provider.getTracer('hickorybridge');
    this.#sampleShare = options.sampleShare;
  }

  start(start: SpanStart): Span {
    const parent =
      start.traceparent === undefined ? undefined : parseTraceparent(start.traceparent);
    const attributes = { service: start.service, kind: start.kind };
    const span = this.#tracer.startSpan(start.name, { attributes }, contextOf(parent));
    const { traceId, spanId } = span.spanContext();
    const sampled = parent?.sampled ?? this.#isSampled(traceId);
    if (sampled) span.setAttribute(keptAttribute, true);
    return new ExportedSpan(span, { traceId, spanId, sampled });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#provider.shutdown();
  }

  /** Decides by the trace's own random digits, so that a repeated decision is the same. */
  #isSampled(traceId: string): boolean {
    return Number.parseInt(traceId.slice(-8), 16) < this.#sampleShare * twoToThe32;
  }
}

function contextOf(parent: TraceContext | undefined): Context {
  if (parent === undefined) return ROOT_CONTEXT;
  const traceFlags = parent.sampled ? TraceFlags.SAMPLED : TraceFlags.NONE;
  const { traceId, spanId } = parent;
  return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags, isRemote: true });
}
