/** Structured fields of a log line; undefined fields are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Structured logger. `event` is a stable name in kebab-case; `message` is meant for people. */
export interface Logger {
  error(event: string, message: string, fields?: LogFields): void;
  warn(event: string, message: string, fields?: LogFields): void;
  info(event: string, message: string, fields?: LogFields): void;
  debug(event: string, message: string, fields?: LogFields): void;
}

/** Discards every line; for tests. */
export const silentLogger: Logger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};
