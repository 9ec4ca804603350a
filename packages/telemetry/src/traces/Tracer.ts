/** What a hop does with a request. */
export const SpanName = {
  /** The router's whole work on a caller's request. */
  route: 'route',
  /** One sending of a request to one backend server. */
  try: 'try',
  /** The admission side, from the arrival of the head to the end of the answer. */
  admit: 'admit',
} as const;

export type SpanName = (typeof SpanName)[keyof typeof SpanName];

/** How a span ended. */
export interface SpanEnd {
  /** Spans with an error are always kept. */
  readonly error?: string | undefined;
}

/** One hop of a request. */
export interface Span {
  /** Header for the next hop. */
  readonly traceparent: string;
  setAttribute(name: string, value: string | number | boolean): void;
  /** Ends the span; later calls do nothing. */
  end(end?: SpanEnd): void;
}

/** How a span starts. */
export interface SpanStart {
  readonly name: SpanName;
  readonly service: string;
  readonly kind: string;
  /** Header from the hop before; a malformed or absent one starts a new trace. */
  readonly traceparent: string | undefined;
}

/** Makes spans. */
export interface Tracer extends AsyncDisposable {
  /** Starts a span, or gives `undefined` when nothing is exported: pass `traceparent` on then. */
  start(start: SpanStart): Span | undefined;
}

/** Makes no spans and loads no library. */
export const noTracer: Tracer = {
  start: () => undefined,
  [Symbol.asyncDispose]: async () => {},
};
