import type { QuotaBounds } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { BrokerMembership } from './BrokerMembership.js';
import { chooseBrokers } from './chooseBrokers.js';
import { maxWaitMilliseconds, type QuotaTokensReply } from './quotaMessages.js';
import { quotaRates, type QuotaLimit, type QuotaRates } from './quotaRates.js';

/** Options of {@link QuotaBroker}. */
export interface QuotaBrokerOptions {
  readonly nodeId: string;
  readonly clock: Pick<Clock, 'now'>;
  readonly bounds: QuotaBounds;
  readonly membership: BrokerMembership;
  /** The limit of a tenant in the configuration in force; `undefined` for an unknown one. */
  readonly limitOf: (tenant: string) => QuotaLimit | undefined;
}

interface Bucket extends QuotaRates {
  readonly limit: QuotaLimit;
  /** Version of the membership from which the rate and the capacity come. */
  readonly version: number;
  readonly level: number;
  readonly refilledAt: number;
}

/** Buckets that each call looks at for eviction. With two, the number of full ones shrinks. */
const examinedBuckets = 2;
const inactive: QuotaTokensReply = { active: false, granted: 0, waitMilliseconds: 0 };

/** Grants tokens to nodes, from this broker's share of the limit of each tenant. */
export class QuotaBroker {
  readonly #options: QuotaBrokerOptions;

  /** Least recently used first. A tenant without a bucket has a full one. */
  readonly #buckets = new Map<string, Bucket>();

  #activeSince: number | undefined;

  constructor(options: QuotaBrokerOptions) {
    this.#options = options;
  }

  /** Number of tenants with a bucket that is not full. */
  get size(): number {
    return this.#buckets.size;
  }

  /** Grants up to `count` tokens. */
  grant(tenant: string, count: number): QuotaTokensReply {
    const { clock, limitOf, membership } = this.#options;
    if (this.#activeSince !== membership.activeSince) this.#buckets.clear();
    this.#activeSince = membership.activeSince;
    const limit = limitOf(tenant);
    if (this.#activeSince === undefined || limit === undefined) return inactive;
    const now = clock.now();
    this.#evictFull(now);
    const bucket = this.#currentBucket(tenant, limit, now);
    if (bucket === undefined) {
      this.#buckets.delete(tenant);
      return inactive;
    }
    const granted = Math.min(count, Math.floor(bucket.level));
    const level = bucket.level - granted;
    // Reinserted as the most recently used one.
    this.#buckets.delete(tenant);
    this.#buckets.set(tenant, { ...bucket, level });
    return { active: true, granted, waitMilliseconds: untilNextToken({ ...bucket, level }) };
  }

  /** The bucket of a tenant, refilled; `undefined` if other nodes are its brokers. */
  #currentBucket(tenant: string, limit: QuotaLimit, now: number): Bucket | undefined {
    const { version } = this.#options.membership;
    const known = this.#buckets.get(tenant);
    const level = known === undefined ? Infinity : levelAt(known, now);
    if (known !== undefined && known.version === version && isSameLimit(known.limit, limit)) {
      return { ...known, level, refilledAt: now };
    }
    const rates = this.#shareOf(tenant, limit);
    if (rates === undefined) return undefined;
    const { capacity, tokensPerSecond } = rates;
    // A new broker starts with empty buckets. They have filled since, unless it was just now.
    const filled = ((now - (this.#activeSince ?? now)) / 1000) * tokensPerSecond;
    return {
      ...rates,
      limit,
      version,
      level: Math.min(level, capacity, filled),
      refilledAt: now,
    };
  }

  /** Rate and capacity of this broker for a tenant. One share more than brokers is in reserve. */
  #shareOf(tenant: string, limit: QuotaLimit): QuotaRates | undefined {
    const { bounds, membership, nodeId } = this.#options;
    const { capacity, tokensPerSecond } = quotaRates(limit, bounds);
    const brokers = chooseBrokers(tenant, membership.reserved, capacity);
    if (!brokers.some((broker) => broker.nodeId === nodeId)) return undefined;
    const share = 1 / (brokers.length + 1);
    return { capacity: capacity * share, tokensPerSecond: tokensPerSecond * share };
  }

  #evictFull(now: number): void {
    let examined = 0;
    for (const [tenant, bucket] of this.#buckets) {
      if (examined === examinedBuckets) return;
      examined += 1;
      if (levelAt(bucket, now) >= bucket.capacity) this.#buckets.delete(tenant);
    }
  }
}

function levelAt({ capacity, level, refilledAt, tokensPerSecond }: Bucket, now: number): number {
  return Math.min(capacity, level + ((now - refilledAt) / 1000) * tokensPerSecond);
}

function untilNextToken({ level, tokensPerSecond }: Bucket): number {
  if (level >= 1) return 0;
  return Math.min(maxWaitMilliseconds, Math.ceil(((1 - level) / tokensPerSecond) * 1000));
}

function isSameLimit(first: QuotaLimit, second: QuotaLimit): boolean {
  return first.requestsPerSecond === second.requestsPerSecond && first.burst === second.burst;
}
