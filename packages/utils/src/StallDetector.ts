import type { TimerClock } from './clock.js';

/** Options of {@link StallDetector}. */
export interface StallDetectorOptions {
  readonly clock: TimerClock;
  /** Calls back once the event loop has polled its sockets again; defaults to `setImmediate`. */
  readonly nextTurn?: (callback: () => void) => void;
}

interface Stall {
  readonly startedAt: number;
  readonly endedAt: number;
  quietTurns: number;
}

const tickMilliseconds = 100;
/** Shorter gaps are usual, e.g. for garbage collection or a processor quota that is used up. */
const minimumStallMilliseconds = 250;
/** The event loop may accept one connection in each turn, and reads it in the turn after. */
const quietTurnsAtEnd = 3;
/** A loop that is always busy has no quiet turns. */
const maxCatchUpMilliseconds = 1000;

/**
 * Notices that the process stood still, e.g. stopped by a signal, without a processor, or on a
 * suspended host. What is read right afterwards may have lain in its socket for all that time.
 *
 * The monotonic clock does not count the time for which a host is suspended, but the time of day
 * does. A forward step of the time of day looks the same and does no harm beyond the next reads.
 */
export class StallDetector implements AsyncDisposable {
  readonly #options: StallDetectorOptions;

  #cancelTick: (() => void) | undefined;

  #tickedAt: number;

  /** Time of day less the monotonic time, at the last tick. */
  #clockDifference: number;

  readonly #stalls: Stall[] = [];

  #isTurnAwaited = false;

  constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#tickedAt = options.clock.now();
    this.#clockDifference = options.clock.wallTime() - this.#tickedAt;
    this.#schedule();
  }

  /**
   * Returns the earliest time at which what is read now may have arrived, in monotonic milliseconds.
   * On a suspended host this lies before the suspension by the time that the clock did not count.
   */
  unreadSince(): number {
    this.recordActivity();
    const now = this.#options.clock.now();
    return this.#stalls.reduce((earliest, { startedAt }) => Math.min(earliest, startedAt), now);
  }

  /** Tells that something was read or accepted, so that more may be waiting. */
  recordActivity(): void {
    this.#detect();
    for (const stall of this.#stalls) stall.quietTurns = 0;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#cancelTick?.();
    this.#stalls.splice(0);
  }

  #schedule(): void {
    this.#cancelTick = this.#options.clock.schedule(tickMilliseconds, () => {
      this.#detect();
      this.#recordTick();
      this.#schedule();
    });
  }

  #recordTick(): void {
    const { clock } = this.#options;
    this.#tickedAt = clock.now();
    this.#clockDifference = clock.wallTime() - this.#tickedAt;
  }

  #detect(): void {
    const { clock } = this.#options;
    const now = clock.now();
    const uncounted = Math.max(0, clock.wallTime() - now - this.#clockDifference);
    const gap = now - this.#tickedAt - tickMilliseconds;
    if (Math.max(gap, uncounted) >= minimumStallMilliseconds) {
      const startedAt = Math.min(now, this.#tickedAt + tickMilliseconds) - uncounted;
      this.#stalls.push({ startedAt, endedAt: now, quietTurns: 0 });
      this.#recordTick();
      this.#awaitTurn();
    }
  }

  #awaitTurn(): void {
    if (this.#isTurnAwaited) return;
    this.#isTurnAwaited = true;
    const { nextTurn = setImmediate } = this.#options;
    nextTurn(() => {
      this.#isTurnAwaited = false;
      this.#endTurn();
    });
  }

  /** Forgets the stalls before which everything has been read. */
  #endTurn(): void {
    const now = this.#options.clock.now();
    for (const stall of this.#stalls) stall.quietTurns += 1;
    const remaining = this.#stalls.filter(
      ({ endedAt, quietTurns }) =>
        quietTurns < quietTurnsAtEnd && now - endedAt < maxCatchUpMilliseconds,
    );
    this.#stalls.splice(0, Infinity, ...remaining);
    if (remaining.length > 0) this.#awaitTurn();
  }
}
