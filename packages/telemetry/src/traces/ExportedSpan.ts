import { SpanStatusCode, type Span as ApiSpan } from '@opentelemetry/api';
import type { TraceContext } from './traceContext.js';
import { formatTraceparent } from './traceContext.js';
import type { Span, SpanEnd } from './Tracer.js';

/** A span of the OpenTelemetry SDK. */
export class ExportedSpan implements Span {
  readonly traceparent: string;

  readonly #span: ApiSpan;

  constructor(span: ApiSpan, context: TraceContext) {
    this.#span = span;
    this.traceparent = formatTraceparent(context);
  }

  setAttribute(name: string, value: string | number | boolean): void {
    this.#span.setAttribute(name, value);
  }

  end(end?: SpanEnd): void {
    if (!this.#span.isRecording()) return;
    if (end?.error !== undefined) {
      this.#span.setStatus({ code: SpanStatusCode.ERROR, message: end.error });
    }
    this.#span.end();
  }
}
