import { createConsola } from 'consola/basic';
import type { ConsolaReporter, LogObject } from 'consola/basic';
import { EventRateLimit, type LineRate } from './EventRateLimit.js';
import type { LogFields, Logger } from './Logger.js';
import { formatJsonLine, formatTextLine } from './formatLine.js';
import type { LogLine } from './formatLine.js';

/** Severities, the most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Settings of a logger. */
export interface LoggerOptions {
  /** Least severe level that is written. */
  readonly level: LogLevel;
  /** Text for people or one JSON object a line. */
  readonly format: 'text' | 'json';
  /** Fields of every line, as the node's name. */
  readonly fields?: LogFields;
  /** Takes the finished lines; standard error when it is absent. */
  readonly write?: (line: string) => void;
  /** Monotonic time in milliseconds, for the rate limit. */
  readonly now?: () => number;
  /** Limit for each event; ten lines at once and one a second by default. */
  readonly rate?: LineRate;
}

const consolaLevels: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/**
 * Makes a logger on consola. Each event may write a burst of lines and then one line a second;
 * what is left out is counted and stated on the event's next line, so that a failure that repeats
 * does not drown its cause.
 */
export function createLogger(options: LoggerOptions): Logger {
  const limit = new EventRateLimit(options.now, options.rate);
  const consola = createConsola({
    level: consolaLevels[options.level],
    throttle: 0,
    reporters: [makeReporter(options)],
  });
  const writeAt = (level: LogLevel) => (event: string, message: string, fields?: LogFields) => {
    if (consola.level < consolaLevels[level]) return;
    const permission = limit.ask(event);
    if (!permission.granted) return;
    const suppressed = permission.suppressed === 0 ? undefined : permission.suppressed;
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
