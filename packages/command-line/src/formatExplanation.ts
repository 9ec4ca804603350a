import { fieldsOf, listOf, numberOf } from './nodeStatus.js';

/** Formats what a node remembers of a request as lines. */
export function formatExplanation(value: unknown): string[] {
  const fields = fieldsOf(value);
  const startedAt = new Date(numberOf(fields.startedAt) ?? 0).toISOString();
  const head = `request ${String(fields.requestId)} at ${String(fields.nodeId)} (${String(fields.side)}): ${String(fields.service)}/${String(fields.kind)}, arrived ${startedAt}`;
  const dropped = numberOf(fields.droppedSteps) ?? 0;
  return [
    head,
    ...listOf(fields.steps).map((step) => formatStep(step)),
    ...(dropped === 0 ? [] : [`  ${dropped} further steps were left out`]),
    formatEnd(fields.end),
  ];
}

function formatStep(value: unknown): string {
  const { type, atMilliseconds, ...others } = fieldsOf(value);
  const members = Object.entries(others)
    .filter(([, member]) => member !== undefined && member !== false)
    .map(([name, member]) => `${name}=${String(member)}`);
  return `  ${formatTime(atMilliseconds)}  ${[String(type), ...members].join(' ')}`;
}

function formatEnd(value: unknown): string {
  if (value === undefined) return '  the request is still open';
  const { outcome, problem, detail, milliseconds } = fieldsOf(value);
  const reason = typeof problem === 'string' ? `, ${problem}` : '';
  const more = typeof detail === 'string' ? `: ${detail}` : '';
  return `  ${formatTime(milliseconds)}  ended ${String(outcome)}${reason}${more}`;
}

function formatTime(value: unknown): string {
  return `${(numberOf(value) ?? 0).toFixed(1).padStart(9)} ms`;
}
