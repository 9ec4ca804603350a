/** Outcome of offering a value to a register. */
export type OfferOutcome = 'accepted' | 'same' | 'lower';

/** Called for each value that a register accepts, in order. */
export type RegisterListener<Value> = (value: Value, previous: Value | undefined) => void;

/** Holds the value with the highest number offered so far and rejects lower ones. */
export class MonotonicRegister<Value> {
  readonly #numberOf: (value: Value) => number;

  readonly #listeners = new Set<RegisterListener<Value>>();

  #value: Value | undefined;

  /** `numberOf` returns the number by which values are ordered. */
  constructor(numberOf: (value: Value) => number) {
    this.#numberOf = numberOf;
  }

  /** Current value; `undefined` before the first. */
  get value(): Value | undefined {
    return this.#value;
  }

  /** Number of the current value; 0 before the first. */
  get number(): number {
    return this.#value === undefined ? 0 : this.#numberOf(this.#value);
  }

  /** Accepts the value if its number is higher than the current one. */
  offer(value: Value): OfferOutcome {
    const offered = this.#numberOf(value);
    if (offered < this.number) return 'lower';
    if (this.#value !== undefined && offered === this.number) return 'same';
    const previous = this.#value;
    this.#value = value;
    for (const listener of this.#listeners) listener(value, previous);
    return 'accepted';
  }

  /** Registers a listener; the returned function removes it. */
  onChange(listener: RegisterListener<Value>): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
