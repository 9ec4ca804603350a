import type { BrokerHost } from './chooseBrokers.js';
import type { TokenBatch } from './TokenBatch.js';
import { tokenLifetimeMilliseconds, type QuotaLimit } from './quotaRates.js';

/** Brokers of a tenant, for one version of the membership. */
export interface ChosenBrokers {
  readonly version: number;
  readonly brokers: readonly BrokerHost[];
}

/** Waits for a token or for a refusal. */
export type TokenWaiter = (batch: TokenBatch | undefined) => void;

/** Time over which the demand is averaged. */
const demandMilliseconds = 1000;
/** Tokens of this many seconds of the demand are used before they expire, with some margin. */
const batchSeconds = 0.3;
/** An exchange with a broker in another region. */
const askAheadSeconds = 0.08;
/** With fewer requests in the lifetime of a token, most tokens asked for ahead would expire. */
const minimumDemandToAskAhead = 4;

/** What a node holds for one tenant: tokens, demand, and which brokers have none. */
export class TenantTokens {
  readonly limit: QuotaLimit;

  readonly waiters: TokenWaiter[] = [];

  /** Until when a broker is known to have no token, by its name. */
  readonly emptyUntil = new Map<string, number>();

  #chosen: ChosenBrokers | undefined;

  #refusedUntil = -Infinity;

  #isAsking = false;

  #turn = 0;

  #usedAt = -Infinity;

  #batches: TokenBatch[] = [];

  /** Requests per second, averaged. */
  #demand = 0;

  constructor(limit: QuotaLimit) {
    this.limit = limit;
  }

  /** Until when requests are refused without asking. */
  get refusedUntil(): number {
    return this.#refusedUntil;
  }

  /** Whether brokers are being asked. */
  get isAsking(): boolean {
    return this.#isAsking;
  }

  /** Number of rounds of calls, so that they go to the brokers of a region in turn. */
  get turn(): number {
    return this.#turn;
  }

  /** Time of the latest request. */
  get usedAt(): number {
    return this.#usedAt;
  }

  /** The brokers that were set last. */
  get chosen(): ChosenBrokers | undefined {
    return this.#chosen;
  }

  setChosen(version: number, brokers: readonly BrokerHost[]): void {
    this.#chosen = { version, brokers };
  }

  startAsking(): void {
    this.#isAsking = true;
    this.#turn += 1;
  }

  stopAsking(): void {
    this.#isAsking = false;
  }

  refuseUntil(time: number): void {
    this.#refusedUntil = time;
  }

  /** Counts a request. */
  recordDemand(now: number): void {
    const elapsed = now - this.#usedAt;
    const perSecond = 1000 / demandMilliseconds;
    this.#demand = this.#demand * Math.exp(-elapsed / demandMilliseconds) + perSecond;
    this.#usedAt = now;
  }

  /** Takes the token that expires first; returns its batch. */
  take(now: number): TokenBatch | undefined {
    const [batch] = this.#batches;
    if (batch === undefined) return undefined;
    if (batch.isExpired(now) || batch.count === 0) {
      this.#batches.shift();
      return this.take(now);
    }
    batch.take();
    return batch;
  }

  /** Removes expired batches and returns how many of their tokens were not used. */
  removeExpired(now: number): number {
    let unused = 0;
    while (this.#batches[0]?.isExpired(now) === true) {
      unused += this.#batches.shift()?.count ?? 0;
    }
    return unused;
  }

  add(batch: TokenBatch): void {
    this.#batches.push(batch);
  }

  /** Puts a token back that was not used. Returns false if it has expired or is of an earlier limit. */
  giveBack(batch: TokenBatch, now: number): boolean {
    if (batch.limit !== this.limit || batch.isExpired(now)) return false;
    batch.restore();
    if (!this.#batches.includes(batch)) this.#batches.unshift(batch);
    return true;
  }

  available(now: number): number {
    return this.#batches.reduce((sum, batch) => sum + (batch.isExpired(now) ? 0 : batch.count), 0);
  }

  /** Whether tokens should be asked for before a request needs one. */
  isLow(now: number): boolean {
    const inLifetime = (this.#demand * tokenLifetimeMilliseconds) / 1000;
    if (inLifetime < minimumDemandToAskAhead) return false;
    return this.available(now) < this.#demand * askAheadSeconds;
  }

  /** Tokens to ask for beyond those that requests wait for. */
  get batchSize(): number {
    const inLifetime = (this.#demand * tokenLifetimeMilliseconds) / 1000;
    return inLifetime < minimumDemandToAskAhead ? 0 : Math.ceil(this.#demand * batchSeconds);
  }
}
