import type { HeaderList } from '@hickorybridge/types';

/** Largest answer that holders keep, headers and body together, in bytes. */
export const maximumAnswerBytes = 16 * 1024;

/** A small answer that is given again to later requests with the same key. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
}

/** State of a record. A released record only keeps late copies of its attempt's claim out. */
export const RecordState = {
  claimed: 'claimed',
  finished: 'finished',
  released: 'released',
} as const;

export type RecordState = (typeof RecordState)[keyof typeof RecordState];

/** What a holder knows about one key. */
export interface ClaimRecord {
  readonly attempt: string;
  /** Further attempts that may have won, known after a merge of different holders' records. */
  readonly rivals: readonly string[];
  readonly fingerprint: string;
  readonly state: RecordState;
  readonly answer: StoredAnswer | undefined;
  /** Monotonic time of this process in milliseconds; the record lives for the retention. */
  readonly createdAt: number;
}

/** Estimates the bytes of an answer in a message and in memory. */
export function answerBytes(answer: StoredAnswer | undefined): number {
  if (answer === undefined) return 0;
  return answer.headers.reduce((sum, text) => sum + text.length + 3, answer.body.byteLength + 16);
}

/**
 * Merges two holders' records of one key so that no attempt that may have won is forgotten. The
 * later creation time counts: an old record must not end the protection of a newer claim.
 */
export function mergeRecords(first: ClaimRecord, second: ClaimRecord): ClaimRecord {
  const createdAt = Math.max(first.createdAt, second.createdAt);
  const finished = [first, second].find((record) => record.state === RecordState.finished);
  if (finished !== undefined) {
    const answer = first.answer ?? second.answer;
    return { ...finished, answer, rivals: [], createdAt };
  }
  const released = new Set([first, second].filter(isReleased).map((record) => record.attempt));
  const attempts = new Set([first, second].flatMap(openAttempts));
  const remaining = [...attempts].filter((attempt) => !released.has(attempt)).sort();
  const [attempt, ...rivals] = remaining;
  if (attempt === undefined) return { ...(isReleased(first) ? first : second), createdAt };
  const source = isReleased(first) ? second : first;
  return { ...source, attempt, rivals, createdAt };
}

function isReleased(record: ClaimRecord): boolean {
  return record.state === RecordState.released;
}

function openAttempts(record: ClaimRecord): readonly string[] {
  return isReleased(record) ? [] : [record.attempt, ...record.rivals];
}
