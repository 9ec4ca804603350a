import type { ControlChannel, QuotaBounds, Tenant } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { BrokerMembership } from './BrokerMembership.js';
import { chooseBrokers, type BrokerHost } from './chooseBrokers.js';
import { QuotaBroker } from './QuotaBroker.js';
import {
  parseQuotaTokensReply,
  parseQuotaTokensRequest,
  quotaTokensCall,
  type QuotaTokensReply,
} from './quotaMessages.js';
import { quotaRates, tokenLifetimeMilliseconds, type QuotaLimit } from './quotaRates.js';
import { TenantTokens } from './TenantTokens.js';
import { TokenBatch } from './TokenBatch.js';

/** Options of {@link Quotas}. */
export interface QuotasOptions {
  readonly nodeId: string;
  readonly region: string;
  readonly channel: Pick<ControlChannel, 'call' | 'handle'>;
  readonly clock: Pick<Clock, 'now'>;
  readonly bounds: QuotaBounds;
  readonly membership: BrokerMembership;
  /** The limit of a tenant in the configuration in force; `undefined` for an unknown one. */
  readonly limitOf: (tenant: string) => QuotaLimit | undefined;
  /** Whether a node can be asked without opening a connection. */
  readonly isReachable: (nodeId: string) => boolean;
  /** Called after a round in which requests waited and no broker of their tenant has answered. */
  readonly onUnanswered: (tenant: string) => void;
}

/** A token that a request spends; `undefined` for a tenant without a limit. */
export type QuotaToken = TokenBatch | undefined;

/** Whether a request may be sent. */
export type QuotaDecision =
  | { readonly type: 'granted'; readonly token: QuotaToken }
  | { readonly type: 'over-quota'; readonly retryMilliseconds: number };

/** Totals since the start of the node. */
export interface QuotaCounts {
  /** Requests that got a token. */
  granted: number;
  refused: number;
  /** Tokens that expired before a request needed them. */
  unused: number;
  /** Tokens of requests that did not run, given back in time. */
  returned: number;
  /** Calls to brokers on other hosts. */
  calls: number;
  failedCalls: number;
  /** Tokens that this node granted as a broker. */
  brokered: number;
}

/** Twice the round trip between regions, and some time for a busy host. */
const callTimeoutMilliseconds = 200;
/** How long a broker that did not answer is passed over, for all tenants. */
const avoidMilliseconds = 1000;
/** How long a broker is passed over that does not grant tokens of a tenant yet. */
const inactiveMilliseconds = 300;
/** Shortest time between two rounds of calls for a tenant without tokens. */
const minimumRefusalMilliseconds = 20;
/** While brokers in another region are asked, those in the own region get new tokens. */
const maxShortAnswers = 2;
/** State of a tenant without requests for this long is evicted. */
const idleMilliseconds = 10_000;
/** Tenants that each new one looks at for eviction. */
const examinedTenants = 2;

/**
 * Keeps the limits of the tenants. A request that finds a token on its node is granted at once; others
 * wait for one exchange with a broker. Each node is also a broker where the list of hosts says so.
 */
export class Quotas {
  readonly #options: QuotasOptions;

  readonly #broker: QuotaBroker;

  /** Least recently created or examined first. */
  readonly #tenants = new Map<string, TenantTokens>();

  readonly #avoidedUntil = new Map<string, number>();

  readonly counts: QuotaCounts = {
    granted: 0,
    refused: 0,
    unused: 0,
    returned: 0,
    calls: 0,
    failedCalls: 0,
    brokered: 0,
  };

  constructor(options: QuotasOptions) {
    this.#options = options;
    this.#broker = new QuotaBroker(options);
    options.channel.handle(quotaTokensCall, (body) => this.#handleCall(body));
  }

  /** Number of tenants for which this node holds state. */
  get size(): number {
    return this.#tenants.size;
  }

  /** Number of tenants for which this node holds state as a broker. */
  get brokeredTenants(): number {
    return this.#broker.size;
  }

  /** Takes a token for a request of a tenant. The result is a promise only if it must be awaited. */
  acquire(tenant: Tenant): QuotaDecision | Promise<QuotaDecision> {
    if (tenant.requestsPerSecond === 0) return { type: 'granted', token: undefined };
    const now = this.#options.clock.now();
    const tokens = this.#tokensOf(tenant);
    tokens.recordDemand(now);
    this.counts.unused += tokens.removeExpired(now);
    const batch = tokens.take(now);
    if (batch !== undefined) {
      const mayAsk = !tokens.isAsking && now >= tokens.refusedUntil;
      if (mayAsk && tokens.isLow(now)) this.#ask(tenant.name, tokens);
      return this.#grant(batch);
    }
    if (!tokens.isAsking && now < tokens.refusedUntil) return this.#refuse(tokens);
    return new Promise((resolve) => {
      tokens.waiters.push((granted) =>
        resolve(granted === undefined ? this.#refuse(tokens) : this.#grant(granted)),
      );
      if (!tokens.isAsking) this.#ask(tenant.name, tokens);
    });
  }

  /** Returns the token of a request that has not run and will not run. */
  release(tenant: Tenant, token: QuotaToken): void {
    const tokens = this.#tenants.get(tenant.name);
    if (token === undefined || tokens === undefined) return;
    if (tokens.giveBack(token, this.#options.clock.now())) this.counts.returned += 1;
  }

  #grant(token: TokenBatch): QuotaDecision {
    this.counts.granted += 1;
    return { type: 'granted', token };
  }

  #refuse({ refusedUntil }: TenantTokens): QuotaDecision {
    this.counts.refused += 1;
    const remaining = refusedUntil - this.#options.clock.now();
    return {
      type: 'over-quota',
      retryMilliseconds: Math.max(minimumRefusalMilliseconds, remaining),
    };
  }

  #tokensOf({ burst, name, requestsPerSecond }: Tenant): TenantTokens {
    const known = this.#tenants.get(name);
    const isCurrent =
      known?.limit.requestsPerSecond === requestsPerSecond && known.limit.burst === burst;
    if (known !== undefined && isCurrent) return known;
    this.#evictIdle();
    const created = new TenantTokens({ requestsPerSecond, burst });
    this.#tenants.set(name, created);
    return created;
  }

  #evictIdle(): void {
    const now = this.#options.clock.now();
    let examined = 0;
    for (const [name, tokens] of this.#tenants) {
      if (examined === examinedTenants) return;
      examined += 1;
      this.#tenants.delete(name);
      if (tokens.isAsking || now - tokens.usedAt < idleMilliseconds)
        this.#tenants.set(name, tokens);
      else this.counts.unused += tokens.removeExpired(now);
    }
  }

  /** Asks one broker after the other, until there are enough tokens. */
  async #ask(tenant: string, tokens: TenantTokens): Promise<void> {
    const { clock } = this.#options;
    tokens.startAsking();
    const brokers = this.#brokersOf(tenant, tokens);
    /** How often each broker has answered with fewer tokens than asked for, or not at all. */
    const shortAnswers = new Map<string, number>();
    let collected = 0;
    let answers = 0;
    let broker: BrokerHost | undefined;
    for (;;) {
      const wanted = Math.max(tokens.waiters.length, tokens.batchSize - collected);
      broker = brokers.find(
        ({ nodeId }) =>
          (shortAnswers.get(nodeId) ?? 0) < maxShortAnswers && !this.#isPassedOver(nodeId, tokens),
      );
      if (wanted <= 0 || broker === undefined) break;
      const { nodeId } = broker;
      const askedAt = clock.now();
      const reply = await this.#askBroker(nodeId, tenant, wanted);
      if (reply === undefined) this.#avoidedUntil.set(nodeId, clock.now() + avoidMilliseconds);
      else {
        answers += 1;
        collected += reply.granted;
        this.#take(tokens, nodeId, askedAt, { ...reply, isShort: reply.granted < wanted });
      }
      if (reply !== undefined && reply.granted === wanted) continue;
      shortAnswers.set(nodeId, (shortAnswers.get(nodeId) ?? 0) + 1);
    }
    tokens.stopAsking();
    if (broker !== undefined) return;
    tokens.refuseUntil(this.#nextTokenAt(tokens, brokers));
    if (tokens.waiters.length === 0) return;
    for (const waiter of tokens.waiters.splice(0)) waiter(undefined);
    if (answers === 0) this.#options.onUnanswered(tenant);
  }

  #take(
    tokens: TenantTokens,
    broker: string,
    askedAt: number,
    reply: QuotaTokensReply & { readonly isShort: boolean },
  ): void {
    const now = this.#options.clock.now();
    const { active, granted, isShort, waitMilliseconds } = reply;
    if (!active) tokens.emptyUntil.set(broker, now + inactiveMilliseconds);
    else if (isShort) tokens.emptyUntil.set(broker, now + waitMilliseconds);
    if (granted > 0) {
      const expiresAt = askedAt + tokenLifetimeMilliseconds;
      tokens.add(new TokenBatch(tokens.limit, granted, expiresAt));
    }
    while (tokens.waiters.length > 0) {
      const batch = tokens.take(now);
      if (batch === undefined) return;
      tokens.waiters.shift()?.(batch);
    }
  }

  #isPassedOver(broker: string, { emptyUntil }: TenantTokens): boolean {
    const now = this.#options.clock.now();
    if (now < (emptyUntil.get(broker) ?? -Infinity)) return true;
    return now < (this.#avoidedUntil.get(broker) ?? -Infinity);
  }

  /** When the first broker may have a token again. */
  #nextTokenAt({ emptyUntil }: TenantTokens, brokers: readonly BrokerHost[]): number {
    const now = this.#options.clock.now();
    const times = brokers.map(({ nodeId }) =>
      Math.max(emptyUntil.get(nodeId) ?? now, this.#avoidedUntil.get(nodeId) ?? now),
    );
    const first = times.length === 0 ? now + inactiveMilliseconds : Math.min(...times);
    return Math.max(now + minimumRefusalMilliseconds, first);
  }

  /** Brokers of a tenant: this node, those of its region in turn, then the others in turn. */
  #brokersOf(tenant: string, tokens: TenantTokens): BrokerHost[] {
    const { isReachable, nodeId, region } = this.#options;
    const brokers = this.#chosenBrokers(tenant, tokens).filter(
      (host) => host.nodeId === nodeId || isReachable(host.nodeId),
    );
    const own = brokers.filter((host) => host.nodeId === nodeId);
    const near = brokers.filter((host) => host.nodeId !== nodeId && host.region === region);
    const far = brokers.filter((host) => host.region !== region);
    return [...own, ...rotate(near, tokens.turn), ...rotate(far, tokens.turn)];
  }

  #chosenBrokers(tenant: string, tokens: TenantTokens): readonly BrokerHost[] {
    const { bounds, membership } = this.#options;
    const { version } = membership;
    if (tokens.chosen?.version === version) return tokens.chosen.brokers;
    const { capacity } = quotaRates(tokens.limit, bounds);
    const listed = new Set(membership.listed.map(({ nodeId }) => nodeId));
    const brokers = chooseBrokers(tenant, membership.reserved, capacity).filter(({ nodeId }) =>
      listed.has(nodeId),
    );
    tokens.setChosen(version, brokers);
    return brokers;
  }

  async #askBroker(
    nodeId: string,
    tenant: string,
    count: number,
  ): Promise<QuotaTokensReply | undefined> {
    const request = { tenant, count };
    if (nodeId === this.#options.nodeId) return this.#handleCall(request);
    this.counts.calls += 1;
    const { channel } = this.#options;
    const reply = await channel.call(nodeId, quotaTokensCall, request, callTimeoutMilliseconds);
    const parsed = reply.ok ? parseQuotaTokensReply(reply.value) : undefined;
    if (parsed === undefined) this.counts.failedCalls += 1;
    return parsed;
  }

  #handleCall(body: unknown): QuotaTokensReply | undefined {
    const request = parseQuotaTokensRequest(body);
    if (request === undefined) return undefined;
    const reply = this.#broker.grant(request.tenant, request.count);
    this.counts.brokered += reply.granted;
    return reply;
  }
}

function rotate<Value>(values: readonly Value[], turn: number): Value[] {
  const start = values.length === 0 ? 0 : turn % values.length;
  return [...values.slice(start), ...values.slice(0, start)];
}
