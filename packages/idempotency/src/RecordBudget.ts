/** Limits of a holder's memory. */
export interface RecordLimits {
  /** Records of all shards together. */
  readonly records: number;
  /** Bytes of stored answers of all shards together. */
  readonly answerBytes: number;
}

/** Counts the records and answers of all shards of a holder against its limits. */
export class RecordBudget {
  readonly #limits: RecordLimits;

  #records = 0;

  #answerBytes = 0;

  constructor(limits: RecordLimits) {
    this.#limits = limits;
  }

  get records(): number {
    return this.#records;
  }

  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Whether new claims have to be turned down. Merged and finished records are always taken. */
  isFull(): boolean {
    return this.#records >= this.#limits.records;
  }

  addRecord(): void {
    this.#records += 1;
  }

  removeRecords(count: number): void {
    this.#records -= count;
  }

  /** Counts an answer; refuses one that would exceed the limit. */
  addAnswer(bytes: number): boolean {
    if (this.#answerBytes + bytes > this.#limits.answerBytes) return false;
    this.#answerBytes += bytes;
    return true;
  }

  removeAnswer(bytes: number): void {
    this.#answerBytes -= bytes;
  }
}
