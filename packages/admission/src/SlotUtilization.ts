/** Time constant of the moving average; a few times a typical service time. */
const averagingMilliseconds = 1000;
/** Upper bound, so that predictions always leave a share of the slots to late requests. */
const maxUtilization = 0.95;

/** Exponential moving average of the share of the slots that some class of work uses. */
export class SlotUtilization {
  readonly #slots: number;

  #work = 0;

  #updatedAt = 0;

  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Adds work that starts now, in slot milliseconds. */
  add(milliseconds: number, now: number): void {
    this.#decay(now);
    this.#work += milliseconds;
  }

  /** Returns the current share, from 0 to below 1. */
  at(now: number): number {
    this.#decay(now);
    return Math.min(maxUtilization, this.#work / averagingMilliseconds / this.#slots);
  }

  #decay(now: number): void {
    this.#work *= Math.exp((this.#updatedAt - now) / averagingMilliseconds);
    this.#updatedAt = now;
  }
}
