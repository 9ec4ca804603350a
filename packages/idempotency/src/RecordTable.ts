import type { RecordBudget } from './RecordBudget.js';
import { answerBytes, mergeRecords } from './claimRecord.js';
import type { ClaimRecord } from './claimRecord.js';
import { flattenText, packRecord, unpackRecord } from './packRecord.js';

/** Parts of the lifetime in which records are dropped together. */
const generationsPerLifetime = 8;

/** Packed records that were made in the same part of the lifetime, by digest. */
interface Generation {
  readonly records: Map<string, string>;
  answerBytes: number;
}

/**
 * The records of one shard. Records of the same part of their lifetime share a map, which is
 * dropped as a whole, so that expiry needs no timer and no work for each record.
 */
export class RecordTable {
  readonly #lifetime: number;

  readonly #span: number;

  readonly #budget: RecordBudget;

  readonly #generations = new Map<number, Generation>();

  constructor(lifetimeMilliseconds: number, budget: RecordBudget) {
    this.#lifetime = lifetimeMilliseconds;
    this.#span = lifetimeMilliseconds / generationsPerLifetime;
    this.#budget = budget;
  }

  /** Finds the record of a key that has not expired. */
  find(digest: string, now: number): ClaimRecord | undefined {
    for (const generation of this.#generations.values()) {
      const packed = generation.records.get(digest);
      if (packed === undefined) continue;
      const record = unpackRecord(packed);
      return this.#isExpired(record, now) ? undefined : record;
    }
    return undefined;
  }

  /** Stores or replaces the record of a key. */
  put(digest: string, record: ClaimRecord): void {
    this.#remove(digest);
    const generation = this.#generationAt(Math.floor(record.createdAt / this.#span));
    const kept = this.#withinAnswerBudget(record, generation);
    generation.records.set(flattenText(digest), packRecord(kept));
    this.#budget.addRecord();
  }

  /** Merges a record of another holder. */
  merge(digest: string, record: ClaimRecord, now: number): void {
    const own = this.find(digest, now);
    this.put(digest, own === undefined ? record : mergeRecords(own, record));
  }

  /** Drops generations whose records have all expired. */
  expire(now: number): void {
    for (const [index, generation] of this.#generations) {
      // Times are rounded up to a whole millisecond when records are packed.
      const youngest = (index + 1) * this.#span + 1;
      if (youngest + this.#lifetime > now) continue;
      this.#forget(generation);
      this.#generations.delete(index);
    }
  }

  /** Drops all records. */
  clear(): void {
    for (const generation of this.#generations.values()) this.#forget(generation);
    this.#generations.clear();
  }

  /** Lists the digests of all records. */
  digests(): string[] {
    return [...this.#generations.values()].flatMap((generation) => [...generation.records.keys()]);
  }

  #isExpired(record: ClaimRecord, now: number): boolean {
    return record.createdAt + this.#lifetime <= now;
  }

  #generationAt(index: number): Generation {
    const existing = this.#generations.get(index);
    if (existing !== undefined) return existing;
    const created: Generation = { records: new Map(), answerBytes: 0 };
    this.#generations.set(index, created);
    return created;
  }

  #remove(digest: string): void {
    for (const generation of this.#generations.values()) {
      const packed = generation.records.get(digest);
      if (packed === undefined) continue;
      const bytes = answerBytes(unpackRecord(packed).answer);
      generation.records.delete(digest);
      generation.answerBytes -= bytes;
      this.#budget.removeRecords(1);
      this.#budget.removeAnswer(bytes);
    }
  }

  #withinAnswerBudget(record: ClaimRecord, generation: Generation): ClaimRecord {
    const bytes = answerBytes(record.answer);
    if (!this.#budget.addAnswer(bytes)) return { ...record, answer: undefined };
    const changed = generation;
    changed.answerBytes += bytes;
    return record;
  }

  #forget(generation: Generation): void {
    this.#budget.removeRecords(generation.records.size);
    this.#budget.removeAnswer(generation.answerBytes);
  }
}
