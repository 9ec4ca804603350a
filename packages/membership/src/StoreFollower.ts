import type { Logger } from '@hickorybridge/logger';
import type { RemovingStore, WatchResult } from '@hickorybridge/store';
import type { Clock, RandomSource } from '@hickorybridge/utils';

/** When an answer of the store was read. */
export interface StoreAnswer {
  /** Time since the answer before, in milliseconds; `undefined` for the first. */
  readonly silentMilliseconds: number | undefined;
  /** When the call was sent, in monotonic milliseconds. The answer is at least as recent. */
  readonly calledAt: number;
}

/** What following a part of the store needs. */
export interface StoreFollowerOptions {
  readonly store: RemovingStore;
  /** Keys that start with this are followed. */
  readonly prefix: string;
  /** Whether answers that are seconds old will do; they cost less. */
  readonly mayBeStale: boolean;
  /** How long one call waits for a change, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Pause after a change, so that changes that come together are read together. */
  readonly pauseMilliseconds: number;
  /** Called with each answer of the store. */
  readonly onChange: (result: WatchResult, answer: StoreAnswer) => void;
  /** Whether the store has to be followed at this moment; always by default. */
  readonly isNeeded?: () => boolean;
  /** How long the store surely has not to be followed yet, in milliseconds; 0 by default. */
  readonly untilNeededMilliseconds?: () => number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

const firstRetryMilliseconds = 100;
/** How often a follower looks whether it is needed, and at least how often one that rests does. */
const restMilliseconds = 200;
const longestRestMilliseconds = 1000;
/** Shortest wait of a watch: after a failure its answer shows that the store is back. */
const probeWaitMilliseconds = 1;
// Bounds how long a node learns nothing after the store has come back. Calls that fail are paid
// for, too, and a call that may be stale costs a tenth.
const longestRetryMilliseconds = { current: 3000, stale: 1000 };

/** Follows the objects under a prefix: reads all once, then waits for changes. */
export class StoreFollower {
  readonly #options: StoreFollowerOptions;

  #failures = 0;

  /** Cancels the call that is waiting for an answer. */
  #cancellation: AbortController | undefined;

  #isWatching = false;

  /** When the store last answered, in monotonic milliseconds; `undefined` before the first time. */
  #answeredAt: number | undefined;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
  }

  /** Time since the store last answered, in milliseconds; `undefined` before the first time. */
  get ageMilliseconds(): number | undefined {
    const answeredAt = this.#answeredAt;
    return answeredAt === undefined ? undefined : this.#options.clock.now() - answeredAt;
  }

  /** Whether a change would be heard at once, as far as the last answer shows. */
  get isFollowing(): boolean {
    return this.#isWatching && this.#failures === 0 && this.#answeredAt !== undefined;
  }

  /** Sends the call that is waiting for an answer again, since its connection may be silent. */
  renew(): void {
    this.#cancellation?.abort();
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, mayBeStale, pauseMilliseconds, prefix, store } = this.#options;
    let revision = 0;
    while (!signal.aborted) {
      this.#isWatching = this.#options.isNeeded?.() ?? true;
      if (!this.#isWatching) {
        await clock.sleep(this.#restMilliseconds(), signal);
        continue;
      }
      const wait = this.#failures > 0 ? probeWaitMilliseconds : this.#options.waitMilliseconds;
      const call = this.#startCall(signal);
      const calledAt = clock.now();
      const result = await store.watch(prefix, revision, wait, call.signal, mayBeStale);
      call.end();
      if (signal.aborted) return;
      // A list that was read in spite of the cancellation is as good as any.
      if (call.signal.aborted && !result.ok) continue;
      if (!result.ok) {
        await this.#failed(result.error.detail, signal);
        continue;
      }
      const silentMilliseconds = this.ageMilliseconds;
      this.#succeeded();
      // A store that was restored from a copy may count from a lower revision again.
      revision = result.value.revision < revision ? 0 : result.value.revision;
      this.#options.onChange(result.value, { silentMilliseconds, calledAt });
      if (result.value.changed.length > 0) await clock.sleep(pauseMilliseconds, signal);
    }
  }

  #restMilliseconds(): number {
    const untilNeeded = this.#options.untilNeededMilliseconds?.() ?? 0;
    return Math.min(longestRestMilliseconds, Math.max(restMilliseconds, untilNeeded));
  }

  /** Starts a call that is cancelled by `renew`, or when the store need not be followed any more. */
  #startCall(signal: AbortSignal): { readonly signal: AbortSignal; readonly end: () => void } {
    const { isNeeded } = this.#options;
    const cancellation = new AbortController();
    const cancel = () => cancellation.abort();
    this.#cancellation = cancellation;
    const checkNeed = () => {
      if (isNeeded?.() === false) cancel();
    };
    const timer = isNeeded === undefined ? undefined : setInterval(checkNeed, restMilliseconds);
    signal.addEventListener('abort', cancel, { once: true });
    return {
      signal: cancellation.signal,
      end: () => {
        this.#cancellation = undefined;
        clearInterval(timer);
        signal.removeEventListener('abort', cancel);
      },
    };
  }

  async #failed(detail: string, signal: AbortSignal): Promise<void> {
    const { clock, logger, mayBeStale, prefix, random } = this.#options;
    this.#failures += 1;
    if (this.#failures === 1) {
      logger.warn('store-lost', 'the store does not answer; what was read last stays in use', {
        prefix,
        detail,
      });
    }
    const delay = Math.min(
      mayBeStale ? longestRetryMilliseconds.stale : longestRetryMilliseconds.current,
      firstRetryMilliseconds * 2 ** Math.min(this.#failures - 1, 8),
    );
    await clock.sleep(delay * (0.5 + 0.5 * random.next()), signal);
  }

  #succeeded(): void {
    const { clock, logger, prefix } = this.#options;
    if (this.#failures > 0) {
      logger.info('store-regained', 'the store answers again', {
        prefix,
        failures: this.#failures,
      });
    }
    this.#failures = 0;
    this.#answeredAt = clock.now();
  }
}
