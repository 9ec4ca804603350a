import { setMaxListeners } from 'node:events';
import { TokenBucket } from '@hickorybridge/coordination';
import type {
  PlatformStore,
  StoredObject,
  StoreUnavailable,
  WatchResult,
  WriteOutcome,
} from '@hickorybridge/store';
import { fail, type Result } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';

/** Settings of the pace. */
export interface PacedStoreOptions {
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Rate of one node; 640 nodes at once stay under the store's two thousand reads a second. */
const callsPerSecond = 3;
const burstCalls = 8;

/** After an outage each node starts again at a random time within this. */
const maximumDelayMilliseconds = 5000;
const firstDelayMilliseconds = 250;

/**
 * Keeps one node's calls to the store under a rate. After a failed call the next waits for a random
 * delay of up to 5 s, so that the nodes do not all return at the same moment.
 */
export class PacedStore implements PlatformStore {
  readonly #options: PacedStoreOptions;

  readonly #bucket: TokenBucket;

  readonly #stop = new AbortController();

  #failures = 0;

  #resumeAt = 0;

  #calls = 0;

  #lastAnswerAt: number | undefined;

  constructor(options: PacedStoreOptions) {
    this.#options = options;
    // Every waiting call listens to the signal.
    setMaxListeners(0, this.#stop.signal);
    const { clock } = options;
    this.#bucket = new TokenBucket({ tokensPerSecond: callsPerSecond, burst: burstCalls, clock });
  }

  /** Calls made so far. */
  get calls(): number {
    return this.#calls;
  }

  /** Whether the last call had an answer. */
  get available(): boolean {
    return this.#failures === 0;
  }

  /** Monotonic time of the last answer in milliseconds; `undefined` before the first. */
  get lastAnswerAt(): number | undefined {
    return this.#lastAnswerAt;
  }

  async read(key: string): Promise<Result<StoredObject | undefined, StoreUnavailable>> {
    if (!(await this.#enter())) return closedFailure();
    return this.#record(await this.#options.store.read(key));
  }

  async list(prefix: string): Promise<Result<readonly StoredObject[], StoreUnavailable>> {
    if (!(await this.#enter())) return closedFailure();
    return this.#record(await this.#options.store.list(prefix));
  }

  async watch(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResult, StoreUnavailable>> {
    if (!(await this.#enter(signal))) return closedFailure();
    const { store } = this.#options;
    const result = await store.watch(prefix, afterRevision, waitMilliseconds, signal);
    return signal?.aborted ? result : this.#record(result);
  }

  async writeConditional(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<WriteOutcome> {
    if (!(await this.#enter())) {
      return { type: 'unknown', detail: 'the store client was closed before the write' };
    }
    const outcome = await this.#options.store.writeConditional(key, value, expectedVersion);
    if (outcome.type === 'unknown') this.#noteFailure();
    else this.#noteAnswer();
    return outcome;
  }

  /** Ends waiting calls. The store itself belongs to whoever made it. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
  }

  async #enter(signal: AbortSignal = this.#stop.signal): Promise<boolean> {
    const { clock } = this.#options;
    while (clock.now() < this.#resumeAt && !signal.aborted) {
      await clock.sleep(this.#resumeAt - clock.now(), signal);
    }
    if (this.#stop.signal.aborted || !(await this.#bucket.take(1, signal))) return false;
    this.#calls += 1;
    return true;
  }

  #record<Value>(result: Result<Value, StoreUnavailable>): Result<Value, StoreUnavailable> {
    if (result.ok) this.#noteAnswer();
    else this.#noteFailure();
    return result;
  }

  #noteAnswer(): void {
    this.#failures = 0;
    this.#lastAnswerAt = this.#options.clock.now();
  }

  #noteFailure(): void {
    this.#failures += 1;
    const { clock, random } = this.#options;
    const bound = Math.min(
      maximumDelayMilliseconds,
      firstDelayMilliseconds * 2 ** Math.min(this.#failures, 10),
    );
    this.#resumeAt = clock.now() + firstDelayMilliseconds + random.next() * bound;
  }
}

function closedFailure(): { readonly ok: false; readonly error: StoreUnavailable } {
  return fail({ type: 'store-unavailable', detail: 'the store client was closed' });
}
