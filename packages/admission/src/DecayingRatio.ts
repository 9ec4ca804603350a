/** Time constant with which decisions lose weight, in milliseconds. */
const decayMilliseconds = 5000;

/** Share of served requests among recent decisions, each of which loses weight exponentially. */
export class DecayingRatio {
  #decided = 0;

  #served = 0;

  #updatedAt = 0;

  record(isServed: boolean, now: number): void {
    const decay = this.#decayAt(now);
    this.#decided = this.#decided * decay + 1;
    this.#served = this.#served * decay + (isServed ? 1 : 0);
    this.#updatedAt = now;
  }

  /** Number of recent decisions, by weight. */
  decidedAt(now: number): number {
    return this.#decided * this.#decayAt(now);
  }

  /** From 0 to 1; 1 before the first decision. */
  get ratio(): number {
    return this.#decided === 0 ? 1 : this.#served / this.#decided;
  }

  #decayAt(now: number): number {
    return Math.exp((this.#updatedAt - now) / decayMilliseconds);
  }
}
