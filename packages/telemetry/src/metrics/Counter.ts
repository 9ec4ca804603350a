/** A number that only rises. */
export class Counter {
  #value = 0;

  get value(): number {
    return this.#value;
  }

  add(amount = 1): void {
    this.#value += amount;
  }
}
