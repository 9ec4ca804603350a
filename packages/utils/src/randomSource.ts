/* eslint-disable no-bitwise -- converts a signed 32-bit integer to unsigned. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded pseudorandom number generator, so that a run can be reproduced. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next(): number {
    return (this.#generator.next() >>> 0) / 0x1_0000_0000;
  }

  /** Returns an integer from 0 (inclusive) to `bound` (exclusive). */
  integerBelow(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Creates a generator seeded with the next output of this one. */
  fork(): RandomSource {
    return new RandomSource(this.#generator.next());
  }
}
