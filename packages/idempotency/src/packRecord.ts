import { RecordState } from './claimRecord.js';
import type { ClaimRecord, StoredAnswer } from './claimRecord.js';

/** Separates the parts of a packed record; names of attempts and fingerprints never contain it. */
const separator = ' ';
const rivalSeparator = ',';
const timeRadix = 36;

const nameFormat = /^[\w-]{0,64}$/;

const stateLetters = {
  [RecordState.claimed]: 'c',
  [RecordState.finished]: 'f',
  [RecordState.released]: 'r',
} as const;

const statesByLetter = new Map<string | undefined, RecordState>([
  ['c', RecordState.claimed],
  ['f', RecordState.finished],
  ['r', RecordState.released],
]);

/** Whether a text may stand in a record as a digest, an attempt or a fingerprint. */
export function isRecordName(text: unknown): text is string {
  return typeof text === 'string' && nameFormat.test(text);
}

/**
 * Packs a record into one string of one byte for each character. An object with its strings, its
 * boxed time and a view of the answer takes more than twice the memory. The time is rounded up,
 * because a record must not expire early.
 */
export function packRecord(record: ClaimRecord): string {
  const parts = [
    stateLetters[record.state],
    Math.ceil(record.createdAt).toString(timeRadix),
    [record.attempt, ...record.rivals].join(rivalSeparator),
    record.fingerprint,
  ];
  if (record.answer !== undefined) parts.push(packAnswer(record.answer));
  return flattenText(parts.join(separator));
}

/** Restores a record from its packed form. */
export function unpackRecord(packed: string): ClaimRecord {
  const { fields, rest } = splitFields(packed);
  const [state, time = '', attempts = '', fingerprint = ''] = fields;
  const [attempt = '', ...rivals] = attempts.split(rivalSeparator);
  return {
    attempt,
    rivals,
    fingerprint,
    state: statesByLetter.get(state) ?? RecordState.claimed,
    answer: rest === undefined ? undefined : unpackAnswer(rest),
    createdAt: Number.parseInt(time, timeRadix),
  };
}

/**
 * Copies a text of one-byte characters. Texts that were joined, or cut from a decoded message,
 * would keep their parts or the whole message in memory.
 */
export function flattenText(text: string): string {
  return Buffer.from(text, 'latin1').toString('latin1');
}

const fieldCount = 4;

/** Splits off the first four fields; the answer that may follow can contain the separator. */
function splitFields(packed: string): { fields: string[]; rest: string | undefined } {
  const fields: string[] = [];
  let start = 0;
  while (fields.length < fieldCount) {
    const end = packed.indexOf(separator, start);
    if (end < 0) return { fields: [...fields, packed.slice(start)], rest: undefined };
    fields.push(packed.slice(start, end));
    start = end + 1;
  }
  return { fields, rest: packed.slice(start) };
}

/** Status and headers as JSON in ASCII on one line, then the body with a character for a byte. */
function packAnswer(answer: StoredAnswer): string {
  const head = JSON.stringify([answer.status, answer.headers]);
  const body = Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength);
  return `${head.replace(/[\u0080-\uffff]/g, escapeCharacter)}\n${body.toString('latin1')}`;
}

function unpackAnswer(packed: string): StoredAnswer {
  const headEnd = packed.indexOf('\n');
  const [status, headers] = JSON.parse(packed.slice(0, headEnd)) as [number, string[]];
  return { status, headers, body: Buffer.from(packed.slice(headEnd + 1), 'latin1') };
}

function escapeCharacter(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`;
}
