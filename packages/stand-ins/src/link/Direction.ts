import { setTimeout as sleep } from 'node:timers/promises';

const bitsPerByte = 8;
const bitsPerMegabit = 1_000_000;
const millisecondsPerSecond = 1_000;

/** Properties of one direction of a link. */
export interface DirectionSettings {
  readonly delayMilliseconds: number;
  /** Rate in Mbit/s that all connections share; 0 is unlimited. */
  readonly megabitsPerSecond: number;
}

/** One direction of a link: a first-in, first-out line with a rate and a delay. */
export class Direction {
  readonly settings: DirectionSettings;

  /** Bytes that were sent into this direction. */
  bytes = 0;

  #lineFreeAt = 0;

  #cut = false;

  readonly #waiting: (() => void)[] = [];

  constructor(settings: DirectionSettings) {
    this.settings = settings;
  }

  /** A cut holds all data back until it ends, as TCP sends lost data again. */
  setCut(cut: boolean): void {
    this.#cut = cut;
    if (!cut) for (const resume of this.#waiting.splice(0)) resume();
  }

  /** Waits until data of this size has left the line, and gives the time of its arrival. */
  async transmit(bytes: number): Promise<number> {
    this.bytes += bytes;
    const now = performance.now();
    this.#lineFreeAt = Math.max(this.#lineFreeAt, now) + this.#sendingMilliseconds(bytes);
    const arrival = this.#lineFreeAt + this.settings.delayMilliseconds;
    await sleepUntil(this.#lineFreeAt);
    return arrival;
  }

  /** Waits until the time of arrival, and until the direction is not cut. */
  async arrive(arrival: number): Promise<void> {
    await sleepUntil(arrival);
    while (this.#cut) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
  }

  #sendingMilliseconds(bytes: number): number {
    const { megabitsPerSecond } = this.settings;
    if (megabitsPerSecond <= 0) return 0;
    const bits = bytes * bitsPerByte * millisecondsPerSecond;
    return bits / (megabitsPerSecond * bitsPerMegabit);
  }
}

/** Timers have a resolution of 1 ms, so shorter waits are left out. */
async function sleepUntil(time: number): Promise<void> {
  const wait = time - performance.now();
  if (wait >= 1) await sleep(wait);
}
