import { fail, type Result, succeed } from '@hickorybridge/types';
import type { RandomSource, Clock } from '@hickorybridge/utils';
import type {
  ConditionalStore,
  ConditionalWriteOutcome,
  StoreFailure,
  VersionedObject,
} from '../conditionalStore.js';

/** Current store revision and the objects that changed after the requested one. */
export interface SimulatedWatchResult {
  readonly revision: number;
  readonly changed: readonly VersionedObject[];
}

interface StoredObject extends VersionedObject {
  readonly revision: number;
}

/** An in-memory object store with simulated delays, outages and lost answers. */
export class SimulatedStore implements ConditionalStore, AsyncDisposable {
  /** Whether an outage is in progress: calls then fail after the delay. */
  down = false;

  /** Duration of a call, in milliseconds. */
  delayMilliseconds = 2;

  /** Maximum number of calls handled per second; further calls are queued. */
  callsPerSecond = Number.POSITIVE_INFINITY;

  /** Probability that a call fails without effect, from 0 to 1; requires a random source. */
  lossProbability = 0;

  /** Number of following writes that take effect but whose answer is lost. */
  responsesToDrop = 0;

  readonly #clock: Clock;

  readonly #objects = new Map<string, StoredObject>();

  readonly #wakeWatches = new Set<() => void>();

  readonly #callTimes: number[] = [];

  #revision = 0;

  #availableAt = 0;

  #writes = 0;

  readonly #random: RandomSource | undefined;

  constructor(clock: Clock, random?: RandomSource) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Number of calls so far, including failed ones. */
  get calls(): number {
    return this.#callTimes.length;
  }

  /** Number of writes that took effect so far. */
  get writes(): number {
    return this.#writes;
  }

  /**
   * Returns the highest number of calls in any one-second window that starts at or after a time.
   */
  peakCallsPerSecond(sinceMilliseconds = 0): number {
    let highest = 0;
    let first = 0;
    for (let last = 0; last < this.#callTimes.length; last += 1) {
      while ((this.#callTimes[last] ?? 0) - (this.#callTimes[first] ?? 0) >= 1000) first += 1;
      if ((this.#callTimes[first] ?? 0) < sinceMilliseconds) continue;
      highest = Math.max(highest, last - first + 1);
    }
    return highest;
  }

  /** Returns an object immediately, without a simulated call. */
  peek(key: string): VersionedObject | undefined {
    return this.#objects.get(key);
  }

  /** Writes an object immediately, without a simulated call, as another client would. */
  put(key: string, value: string): void {
    this.#revision += 1;
    this.#writes += 1;
    const version = (this.#objects.get(key)?.version ?? 0) + 1;
    this.#objects.set(key, { key, value, version, revision: this.#revision });
    for (const wake of this.#wakeWatches) wake();
  }

  async read(key: string): Promise<Result<VersionedObject | undefined, StoreFailure>> {
    if (!(await this.#simulateCall())) return unavailable(`reading ${key}`);
    return succeed(this.#objects.get(key));
  }

  async list(prefix: string): Promise<Result<readonly VersionedObject[], StoreFailure>> {
    if (!(await this.#simulateCall())) return unavailable(`listing ${prefix}`);
    return succeed(this.#changedSince(prefix, 0));
  }

  async writeConditional(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<ConditionalWriteOutcome> {
    const detail = `writing ${key}`;
    if (!(await this.#simulateCall())) return { type: 'unknown', detail };
    const current = this.#objects.get(key);
    if ((current?.version ?? 0) !== expectedVersion) return { type: 'refused', current };
    this.put(key, value);
    if (this.responsesToDrop > 0) {
      this.responsesToDrop -= 1;
      return { type: 'unknown', detail };
    }
    return { type: 'done', version: expectedVersion + 1 };
  }

  async watch(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<Result<SimulatedWatchResult, StoreFailure>> {
    const detail = `watching ${prefix}`;
    const endsAt = this.#clock.now() + waitMilliseconds;
    if (!(await this.#simulateCall())) return unavailable(detail);
    while (this.#changedSince(prefix, afterRevision).length === 0) {
      if (this.down) return unavailable(detail);
      if (this.#clock.now() >= endsAt || signal?.aborted === true) break;
      await this.#waitForChange(endsAt - this.#clock.now(), signal);
      // The answer is delayed as well.
      await this.#clock.sleep(this.delayMilliseconds);
    }
    if (this.down) return unavailable(detail);
    return succeed({
      revision: this.#revision,
      changed: this.#changedSince(prefix, afterRevision),
    });
  }

  /** Starts or ends an outage; a start fails the pending watches. */
  setDown(down: boolean): void {
    this.down = down;
    for (const wake of this.#wakeWatches) wake();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#wakeWatches.clear();
  }

  async #simulateCall(): Promise<boolean> {
    const now = this.#clock.now();
    this.#callTimes.push(now);
    const startsAt = Math.max(now, this.#availableAt);
    this.#availableAt = startsAt + 1000 / this.callsPerSecond;
    await this.#clock.sleep(startsAt - now + this.delayMilliseconds);
    const lost = this.#random !== undefined && this.#random.next() < this.lossProbability;
    return !this.down && !lost;
  }

  #waitForChange(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const limit = new AbortController();
      const wake = () => {
        limit.abort();
        signal?.removeEventListener('abort', wake);
        this.#wakeWatches.delete(wake);
        resolve();
      };
      this.#wakeWatches.add(wake);
      signal?.addEventListener('abort', wake, { once: true });
      this.#clock.sleep(milliseconds, limit.signal).then(wake);
    });
  }

  #changedSince(prefix: string, revision: number): VersionedObject[] {
    return [...this.#objects.values()]
      .filter((object) => object.key.startsWith(prefix) && object.revision > revision)
      .sort((first, second) => (first.key < second.key ? -1 : 1));
  }
}

function unavailable(operation: string): { readonly ok: false; readonly error: StoreFailure } {
  return fail({ type: 'store-unavailable', detail: `${operation}: simulated store outage` });
}
