import { SpanStatusCode } from '@opentelemetry/api';
import type { ReadableSpan, SpanProcessor } from '@opentelemetry/sdk-trace-base';
import { SlowThreshold } from './SlowThreshold.js';

/** Attribute that says why a span was kept. */
export const keptAttribute = 'hickorybridge.kept';

/**
 * Passes on the spans of sampled traces, and of all others those with an error and the slowest of
 * each name, service and kind. It decides when a span ends, so each hop decides for itself: of an
 * unsampled trace only the hops that saw the error or were slow are kept.
 */
export class KeepingSpanProcessor implements SpanProcessor {
  readonly #next: SpanProcessor;

  readonly #thresholds = new Map<string, SlowThreshold>();

  constructor(next: SpanProcessor) {
    this.#next = next;
  }

  readonly onStart: SpanProcessor['onStart'] = (span, context) => {
    this.#next.onStart(span, context);
  };

  onEnd(span: ReadableSpan): void {
    const slow = this.#thresholdOf(span).isSlow(durationOf(span));
    const kept =
      slow || span.status.code === SpanStatusCode.ERROR || span.attributes[keptAttribute] === true;
    if (kept) this.#next.onEnd(span);
  }

  async forceFlush(): Promise<void> {
    await this.#next.forceFlush();
  }

  async shutdown(): Promise<void> {
    await this.#next.shutdown();
  }

  #thresholdOf(span: ReadableSpan): SlowThreshold {
    const { service, kind } = span.attributes;
    const key = `${span.name} ${String(service)} ${String(kind)}`;
    const threshold = this.#thresholds.get(key) ?? new SlowThreshold();
    this.#thresholds.set(key, threshold);
    return threshold;
  }
}

function durationOf(span: ReadableSpan): number {
  const [seconds, nanoseconds] = span.duration;
  return seconds * 1_000 + nanoseconds / 1_000_000;
}
