/* eslint-disable no-bitwise -- turns a signed 32-bit number into an unsigned one. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers from one seed, so that a run can be repeated. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Gives a number from 0 (inclusive) to 1 (exclusive). */
  next(): number {
    return (this.#generator.next() >>> 0) / 0x1_0000_0000;
  }

  /** Gives a whole number from 0 (inclusive) to `bound` (exclusive). */
  integerBelow(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Gives a new seed for a source that is independent of this one. */
  fork(): RandomSource {
    return new RandomSource(this.#generator.next());
  }
}
