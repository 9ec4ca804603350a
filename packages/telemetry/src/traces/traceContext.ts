/** Identity of a span as W3C Trace Context carries it. */
export interface TraceContext {
  /** 32 hexadecimal digits, not all zero. */
  readonly traceId: string;
  /** 16 hexadecimal digits, not all zero. */
  readonly spanId: string;
  readonly sampled: boolean;
}

// A future version may have further fields after the flags.
const pattern =
  /^(?!ff)(?<version>[\da-f]{2})-(?!0{32})(?<traceId>[\da-f]{32})-(?!0{16})(?<spanId>[\da-f]{16})-(?<flags>[\da-f]{2})(?<more>-.*)?$/;
const sampledFlag = 1;

/** Parses a `traceparent` header; `undefined` when it is malformed, which starts a new trace. */
export function parseTraceparent(text: string): TraceContext | undefined {
  const groups = pattern.exec(text)?.groups;
  if (groups === undefined) return undefined;
  const { version, traceId = '', spanId = '', flags = '00', more } = groups;
  if (version === '00' && more !== undefined) return undefined;
  const sampled = Number.parseInt(flags, 16) % 2 === sampledFlag;
  return { traceId, spanId, sampled };
}

/** Formats a `traceparent` header of version 00. */
export function formatTraceparent(context: TraceContext): string {
  return `00-${context.traceId}-${context.spanId}-${context.sampled ? '01' : '00'}`;
}
