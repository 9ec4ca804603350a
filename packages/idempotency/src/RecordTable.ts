import { RecordState, answerBytes, mergeRecords } from './claimRecord.js';
import type { ClaimRecord } from './claimRecord.js';
import type { RecordBudget } from './RecordBudget.js';

/** Parts of the lifetime in which records are dropped together. */
const generationsPerLifetime = 8;

type Generation = Map<string, ClaimRecord>;

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

  get size(): number {
    let size = 0;
    for (const generation of this.#generations.values()) size += generation.size;
    return size;
  }

  /** Finds the record of a key that has not expired. */
  find(digest: string, now: number): ClaimRecord | undefined {
    for (const generation of this.#generations.values()) {
      const record = generation.get(digest);
      if (record !== undefined) return this.#isExpired(record, now) ? undefined : record;
    }
    return undefined;
  }

  /** Stores or replaces the record of a key. */
  put(digest: string, record: ClaimRecord): void {
    const index = Math.floor(record.createdAt / this.#span);
    this.#removeOutside(digest, index);
    const generation = this.#generationAt(index);
    const earlier = generation.get(digest);
    if (earlier === undefined) this.#budget.addRecord();
    else this.#budget.removeAnswer(answerBytes(earlier.answer));
    generation.set(digest, this.#withinAnswerBudget(record));
  }

  /** Merges a record of another holder. */
  merge(digest: string, record: ClaimRecord, now: number): void {
    const own = this.find(digest, now);
    this.put(digest, own === undefined ? record : mergeRecords(own, record));
  }

  /** Drops generations whose records have all expired. */
  expire(now: number): void {
    for (const [index, generation] of this.#generations) {
      if ((index + 1) * this.#span + this.#lifetime > now) continue;
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
    return [...this.#generations.values()].flatMap((generation) => [...generation.keys()]);
  }

  #isExpired(record: ClaimRecord, now: number): boolean {
    return record.createdAt + this.#lifetime <= now;
  }

  #generationAt(index: number): Generation {
    const existing = this.#generations.get(index);
    if (existing !== undefined) return existing;
    const created: Generation = new Map();
    this.#generations.set(index, created);
    return created;
  }

  #removeOutside(digest: string, index: number): void {
    for (const [other, generation] of this.#generations) {
      if (other === index) continue;
      const record = generation.get(digest);
      if (record === undefined) continue;
      generation.delete(digest);
      this.#budget.removeRecords(1);
      this.#budget.removeAnswer(answerBytes(record.answer));
    }
  }

  #withinAnswerBudget(record: ClaimRecord): ClaimRecord {
    if (record.state !== RecordState.finished) return record;
    if (this.#budget.addAnswer(answerBytes(record.answer))) return record;
    return { ...record, answer: undefined };
  }

  #forget(generation: Generation): void {
    this.#budget.removeRecords(generation.size);
    for (const record of generation.values()) this.#budget.removeAnswer(answerBytes(record.answer));
  }
}
