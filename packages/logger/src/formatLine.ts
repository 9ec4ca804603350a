import type { LogFields } from './Logger.js';

/** A log line before formatting. */
export interface LogLine {
  readonly time: Date;
  readonly level: string;
  readonly event: string;
  readonly message: string;
  readonly fields: LogFields;
}

/** Formats a line as one JSON object; fields named like a fixed member are omitted. */
export function formatJsonLine(line: LogLine): string {
  return JSON.stringify({
    time: line.time.toISOString(),
    level: line.level,
    event: line.event,
    message: line.message,
    ...withoutFixedMembers(line.fields),
  });
}

/** Formats a line as text: time, level, event, message, then the fields as `name=value`. */
export function formatTextLine(line: LogLine): string {
  const head = `${line.time.toISOString()} ${line.level.padEnd(5)} ${line.event}: `;
  const fields = Object.entries(line.fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${formatFieldValue(value)}`)
    .join('');
  return head + escapeControl(line.message) + fields;
}

function withoutFixedMembers(fields: LogFields): LogFields {
  const { time, level, event, message, ...others } = fields;
  return others;
}

function formatFieldValue(value: string | number | boolean | undefined): string {
  const text = String(value);
  return /^[^\s"=\p{Cc}]+$/u.test(text) ? text : JSON.stringify(text);
}

/** Escapes control characters, so that a message stays on one line and cannot control a terminal. */
function escapeControl(text: string): string {
  return text.replaceAll(/\p{Cc}/gu, (character) => JSON.stringify(character).slice(1, -1));
}
