import { createConsola } from 'consola/basic';
import type { ConsolaReporter, LogObject } from 'consola/basic';
import { EventRateLimiter, type LineRate } from './EventRateLimiter.js';
import type { LogFields, Logger } from './Logger.js';
import { formatJsonLine, formatTextLine } from './formatLine.js';
import type { LogLine } from './formatLine.js';

/** Log levels, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

export interface LoggerOptions {
  /** Least severe level that is written. */
  readonly level: LogLevel;
  /** Human-readable text, or one JSON object per line. */
  readonly format: 'text' | 'json';
  /** Fields added to every line, such as the node's name. */
  readonly fields?: LogFields;
  /** Writes a formatted line; the default writes to standard error. */
  readonly write?: (line: string) => void;
  /** Monotonic time in milliseconds, for the rate limit. */
  readonly now?: () => number;
  /** Rate limit per event; by default a burst of ten lines, then one per second. */
  readonly rate?: LineRate;
}

const consolaLevels: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/**
 * Creates a logger based on consola. Lines are rate-limited per event, so that a repeated failure
 * does not hide its cause. The next line written for the event reports how many were dropped in
 * its `suppressed` field.
 */
export function createLogger(options: LoggerOptions): Logger {
  const rateLimiter = new EventRateLimiter(options.now, options.rate);
  const consola = createConsola({
    level: consolaLevels[options.level],
    throttle: 0,
    reporters: [makeReporter(options)],
  });
  const writeAt = (level: LogLevel) => (event: string, message: string, fields?: LogFields) => {
    if (consola.level < consolaLevels[level]) return;
    const decision = rateLimiter.tryAcquire(event);
    if (!decision.granted) return;
    const suppressed = decision.suppressed === 0 ? undefined : decision.suppressed;
    const line: LogLine = {
      time: new Date(),
      level,
      event,
      message,
      fields: { ...options.fields, ...fields, suppressed },
    };
    consola[level](line.event, line);
  };
  return {
    error: writeAt('error'),
    warn: writeAt('warn'),
    info: writeAt('info'),
    debug: writeAt('debug'),
  };
}

function makeReporter(options: LoggerOptions): ConsolaReporter {
  const write = options.write ?? ((line: string) => process.stderr.write(`${line}\n`));
  const format = options.format === 'json' ? formatJsonLine : formatTextLine;
  return {
    log(entry: LogObject) {
      write(format(entry.args[1] as LogLine));
    },
  };
}
