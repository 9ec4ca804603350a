/** Time over which the usage is averaged, in milliseconds; a few times a usual service time. */
const averagingMilliseconds = 1000;
/** Late requests get at least this share of the slots in the predictions. */
const maxShare = 0.95;

/** Share of a number of slots that some work takes, averaged over the last second or so. */
export class UsageShare {
  readonly #slots: number;

  #work = 0;

  #updatedAt = 0;

  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Adds work that starts now, in milliseconds of one slot. */
  add(milliseconds: number, now: number): void {
    this.#decay(now);
    this.#work += milliseconds;
  }

  /** Gives the share at this moment, from 0 to below 1. */
  at(now: number): number {
    this.#decay(now);
    return Math.min(maxShare, this.#work / averagingMilliseconds / this.#slots);
  }

  #decay(now: number): void {
    this.#work *= Math.exp((this.#updatedAt - now) / averagingMilliseconds);
    this.#updatedAt = now;
  }
}
