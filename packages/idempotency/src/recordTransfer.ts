import type { RecordTable } from './RecordTable.js';
import { answerBytes } from './claimRecord.js';
import type { ClaimRecord } from './claimRecord.js';
import type { PullReply, TransferredRecord } from './messages.js';

/** Bound of a page, so that its frame stays under 200 KB with one more record of 16 KB. */
const maximumPageBytes = 160_000;

/** Estimate of a transferred record without its answer and rivals, in bytes of CBOR. */
const transferredRecordBytes = 140;

/** Estimate of a further attempt's name, in bytes of CBOR. */
const rivalBytes = 24;

/** Where a page of records comes from. */
export interface PageSource {
  readonly table: RecordTable;
  readonly digests: readonly string[];
  readonly cursor: number;
  /** Monotonic time from which the records are complete. */
  readonly historyStart: number;
  readonly now: number;
}

/** Makes the page of records that starts at the cursor. */
export function makePage(source: PageSource): PullReply {
  const records: TransferredRecord[] = [];
  let bytes = 0;
  let next = source.cursor;
  while (next < source.digests.length && bytes < maximumPageBytes) {
    const digest = source.digests[next] ?? '';
    const record = source.table.find(digest, source.now);
    next += 1;
    if (record === undefined) continue;
    records.push(toTransferred(digest, record, source.now));
    bytes += transferredBytes(record);
  }
  const historyAge = source.now - source.historyStart;
  const isLast = next >= source.digests.length;
  return isLast
    ? { type: 'page', records, historyAge }
    : { type: 'page', records, historyAge, next };
}

/** Gives a transferred record the creation time that its age means on this process's clock. */
export function fromTransferred(transferred: TransferredRecord, receivedAt: number): ClaimRecord {
  const { digest, age, ...record } = transferred;
  return { ...record, answer: record.answer ?? undefined, createdAt: receivedAt - age };
}

function toTransferred(digest: string, record: ClaimRecord, now: number): TransferredRecord {
  const { createdAt, ...rest } = record;
  return { ...rest, digest, age: now - createdAt };
}

function transferredBytes(record: ClaimRecord): number {
  return transferredRecordBytes + record.rivals.length * rivalBytes + answerBytes(record.answer);
}
