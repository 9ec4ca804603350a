import { silentLogger } from '@hickorybridge/logger';
import type { Logger } from '@hickorybridge/logger';
import type { PlatformStore } from '@hickorybridge/store';
import type { ControlChannel } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import { defaultConfirmationLimitMilliseconds } from './ClaimHolder.js';
import { HolderLoad } from './HolderLoad.js';
import { ShardRepair } from './ShardRepair.js';
import type { RepairOutcome } from './ShardRepair.js';
import type { ViewRegister } from './ViewRegister.js';
import { chooseHolders, countFailureDomains } from './chooseHolders.js';
import {
  holderCount,
  isSameNode,
  parseView,
  serializeView,
  shardCount,
  viewStoreKey,
} from './claimView.js';
import type { ClaimView, HolderCandidate, ShardView } from './claimView.js';
import { ClaimCall } from './messages.js';
import type { StatusReply } from './messages.js';

/** The lease under which a keeper acts. */
export interface KeeperLease {
  /** The fencing token while this process holds the lease. */
  held(): { readonly fencingToken: number } | undefined;
}

/** Settings and surroundings of a keeper. */
export interface ViewKeeperOptions {
  readonly store: PlatformStore;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  readonly lease: KeeperLease;
  readonly views: ViewRegister;
  /** Nodes that may hold shards; those that are leaving are not on the list. */
  readonly liveNodes: () => readonly HolderCandidate[];
  readonly confirmationLimitMilliseconds?: number;
  readonly intervalMilliseconds?: number;
  readonly logger?: Logger;
  /** Makes unique names of views; replaced in tests that have to be repeatable. */
  readonly nameView?: () => string;
}

/** How a round of the keeper ended. */
export type KeeperRound =
  | { readonly type: 'no-lease' }
  | { readonly type: 'store-unavailable' }
  | { readonly type: 'unchanged' }
  | { readonly type: 'written'; readonly shards: readonly number[] }
  | { readonly type: 'postponed'; readonly detail: string }
  | { readonly type: 'superseded' }
  | { readonly type: 'write-unknown' };

const defaultIntervalMilliseconds = 1_000;
const statusTimeoutMilliseconds = 1_000;

/** Times between two questions for the state of all holders, in milliseconds. */
const statusIntervalMilliseconds = 30_000;
const statusIntervalAfterFailureMilliseconds = 5_000;

/** Wait for nodes in three failure domains before the first view, in milliseconds. */
const gatheringMilliseconds = 2_000;

/** Shards repaired in one round, so that one write is not held up by many transfers. */
const shardsPerRound = 16;

/** Shards moved in one round only for a better spread. */
const movesPerRound = 2;

/** Time for which a node is not chosen after it could not prepare a view, in milliseconds. */
const avoidanceMilliseconds = 30_000;

/** Allowance for clocks that run at different rates. */
const clockRateAllowance = 1.01;

/** Makes the first view and replaces holders that are no longer live, under a lease. */
export class ViewKeeper {
  readonly #options: ViewKeeperOptions;

  readonly #logger: Logger;

  /** Monotonic time at which this keeper first saw each frozen view, by its name. */
  readonly #frozenSince = new Map<string, number>();

  /** Shards whose holders are not all ready, from the last question for their state. */
  #impaired = new Map<number, readonly HolderCandidate[]>();

  /** Monotonic time until which a node is not chosen, by its name. */
  readonly #avoidedUntil = new Map<string, number>();

  #round = 0;

  /** Monotonic time at which this keeper first found enough nodes for a first view. */
  #enoughNodesSince: number | undefined;

  #lastToken: number | undefined;

  /** Monotonic time of the next question for the state of all holders. */
  #nextStatusAt = 0;

  constructor(options: ViewKeeperOptions) {
    this.#options = options;
    this.#logger = options.logger ?? silentLogger;
  }

  /** Runs rounds until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const interval = this.#options.intervalMilliseconds ?? defaultIntervalMilliseconds;
    while (!signal.aborted) {
      const round = await this.runOnce();
      if (round.type === 'written') continue;
      await this.#options.clock.sleep(interval, signal);
    }
  }

  /** Looks at all shards once and writes at most one new view. */
  async runOnce(): Promise<KeeperRound> {
    const token = this.#options.lease.held()?.fencingToken;
    if (token === undefined) return { type: 'no-lease' };
    if (!this.#isDue(token)) return { type: 'unchanged' };
    const read = await this.#options.store.read(viewStoreKey);
    if (!read.ok) return { type: 'store-unavailable' };
    if (read.value === undefined) return this.#makeFirst(token);
    const view = parseView(read.value.value, read.value.version);
    if (view === undefined) return this.#reportUnreadable(read.value.version);
    if (view.fencingToken > token) return { type: 'superseded' };
    this.#options.views.apply(view);
    this.#noteFrozen(view);
    await this.#askStatus(view, token);
    return this.#repair(view, token);
  }

  /** The view has tens of kilobytes, so it is read from the store only when work is to be done. */
  #isDue(token: number): boolean {
    const known = this.#options.views.current();
    if (known === undefined || token !== this.#lastToken) return true;
    if (this.#options.clock.now() >= this.#nextStatusAt) return true;
    return this.#shardsToRepair(known).length > 0;
  }

  #reportUnreadable(version: number): KeeperRound {
    const detail = `object ${viewStoreKey} at version ${version} is not a claim view`;
    this.#logger.error('claim-view-unreadable', detail, { version });
    return { type: 'postponed', detail };
  }

  async #makeFirst(token: number): Promise<KeeperRound> {
    if (this.#isGathering()) return { type: 'postponed', detail: 'nodes are still being found' };
    const repair = this.#makeRepair(undefined);
    const shards = Array.from({ length: shardCount }, (_, shard) => shard);
    const outcomes = await Promise.all(shards.map((shard) => repair.makeFirst(shard)));
    const postponed = outcomes.find((outcome) => outcome.type === 'postponed');
    if (postponed?.type === 'postponed') return this.#postpone(postponed.detail);
    return this.#write(outcomes.flatMap(viewOf), token, 0, shards);
  }

  /** A first view of the few nodes that start first would put all shards on them. */
  #isGathering(): boolean {
    const { clock, liveNodes } = this.#options;
    const live = liveNodes();
    if (live.length < holderCount) return false;
    this.#enoughNodesSince ??= clock.now();
    if (countFailureDomains(live) >= holderCount) return false;
    return clock.now() - this.#enoughNodesSince < gatheringMilliseconds;
  }

  async #repair(view: ClaimView, token: number): Promise<KeeperRound> {
    const due = this.#shardsToRepair(view);
    if (due.length === 0) return { type: 'unchanged' };
    const repair = this.#makeRepair(view);
    const outcomes = await Promise.all(
      due.map((entry) => repair.replace(entry, this.#holdersToKeep(entry, view))),
    );
    const changed = new Map(outcomes.flatMap(viewOf).map((entry) => [entry.shard, entry]));
    if (outcomes.some((outcome) => outcome.type === 'postponed')) this.#askStatusSoon();
    outcomes.forEach((outcome) => this.#avoidAfter(outcome));
    if (changed.size === 0) return this.#postpone(outcomes.map(detailOf).join('; '));
    const shards = view.shards.map((entry) => changed.get(entry.shard) ?? entry);
    return this.#write(shards, token, view.version, [...changed.keys()]);
  }

  #shardsToRepair(view: ClaimView): readonly ShardView[] {
    const broken = view.shards.filter((entry) => this.#isBroken(entry));
    if (broken.length > 0) return rotate(broken, this.#round).slice(0, shardsPerRound);
    return this.#shardsToMove(view);
  }

  /** Finds a few shards whose holders can be better spread over failure domains or nodes. */
  #shardsToMove(view: ClaimView): readonly ShardView[] {
    const load = this.#loadOf(view);
    const due: ShardView[] = [];
    for (const entry of view.shards) {
      if (this.#canSpread(entry) || this.#replaceableHolder(entry, load)) due.push(entry);
      if (due.length === movesPerRound) break;
    }
    return due;
  }

  /** The overloaded holder that another node can replace without a worse spread. */
  #replaceableHolder(entry: ShardView, load: HolderLoad): HolderCandidate | undefined {
    const overloaded = entry.holders.find((holder) => load.isOverloaded(holder));
    if (overloaded === undefined) return undefined;
    const kept = entry.holders.filter((holder) => holder !== overloaded);
    const planned = chooseHolders(entry.shard, this.#candidates(), kept, load) ?? kept;
    const isBetter = !planned.some((node) => load.isFull(node) && !kept.includes(node));
    const isAsSpread = countFailureDomains(planned) >= countFailureDomains(entry.holders);
    return isBetter && isAsSpread && planned !== kept ? overloaded : undefined;
  }

  #avoidAfter(outcome: RepairOutcome): void {
    if (outcome.type !== 'postponed' || outcome.nodeId === undefined) return;
    const until = this.#options.clock.now() + avoidanceMilliseconds;
    this.#avoidedUntil.set(outcome.nodeId, until);
  }

  #loadOf(view: ClaimView | undefined): HolderLoad {
    return new HolderLoad(view, this.#options.liveNodes().length);
  }

  /** Live nodes on which no preparation failed of late, as long as these are enough. */
  #candidates(): readonly HolderCandidate[] {
    const now = this.#options.clock.now();
    const live = this.#options.liveNodes();
    const preferred = live.filter((node) => (this.#avoidedUntil.get(node.nodeId) ?? 0) <= now);
    return preferred.length >= holderCount ? preferred : live;
  }

  #isBroken(entry: ShardView): boolean {
    if (entry.frozen || this.#impaired.has(entry.shard)) return true;
    return this.#liveHolders(entry).length < entry.holders.length;
  }

  #canSpread(entry: ShardView): boolean {
    const domains = countFailureDomains(entry.holders);
    return (
      domains < entry.holders.length && domains < countFailureDomains(this.#options.liveNodes())
    );
  }

  #holdersToKeep(entry: ShardView, view: ClaimView): readonly HolderCandidate[] {
    const impaired = this.#impaired.get(entry.shard) ?? [];
    const candidates = this.#candidates();
    const usable = this.#liveHolders(entry).filter(
      (holder) =>
        candidates.some((other) => isSameNode(other, holder)) &&
        !impaired.some((other) => isSameNode(other, holder)),
    );
    if (usable.length === entry.holders.length && !this.#canSpread(entry)) {
      const overloaded = this.#replaceableHolder(entry, this.#loadOf(view));
      return usable.filter((holder) => holder !== overloaded);
    }
    if (!this.#canSpread(entry)) return usable;
    return usable.filter(
      (holder, index) =>
        usable.findIndex((other) => other.failureDomain === holder.failureDomain) === index,
    );
  }

  #liveHolders(entry: ShardView): readonly HolderCandidate[] {
    const live = this.#options.liveNodes();
    return entry.holders.filter((holder) => live.some((node) => isSameNode(node, holder)));
  }

  /** The unknown outcome needs no care here: the next round reads what stands in the store. */
  async #write(
    shards: readonly ShardView[],
    fencingToken: number,
    expectedVersion: number,
    changed: readonly number[],
  ): Promise<KeeperRound> {
    if (this.#options.lease.held()?.fencingToken !== fencingToken) return { type: 'no-lease' };
    const text = serializeView({ fencingToken, shards });
    const outcome = await this.#options.store.writeConditional(viewStoreKey, text, expectedVersion);
    if (outcome.type !== 'done') this.#askStatusSoon();
    if (outcome.type === 'refused') return { type: 'superseded' };
    if (outcome.type === 'unknown') return { type: 'write-unknown' };
    for (const shard of changed) this.#impaired.delete(shard);
    const view = { version: outcome.version, fencingToken, shards };
    this.#options.views.apply(view);
    this.#noteFrozen(view);
    this.#logger.info('claim-view-written', 'wrote a new claim view', {
      version: view.version,
      shards: changed.join(','),
    });
    return { type: 'written', shards: changed };
  }

  /** Finds sealed shards that a former keeper left, and holders without records. */
  async #askStatus(view: ClaimView, token: number): Promise<void> {
    this.#round += 1;
    const now = this.#options.clock.now();
    if (token === this.#lastToken && now < this.#nextStatusAt) return;
    this.#lastToken = token;
    this.#nextStatusAt = now + statusIntervalMilliseconds;
    const nodeIds = new Set(
      view.shards.flatMap((entry) => entry.holders).map((node) => node.nodeId),
    );
    const replies = new Map<string, StatusReply>();
    await Promise.all(
      [...nodeIds].map(async (nodeId) => {
        const reply = await this.#options.channel.call(
          nodeId,
          ClaimCall.status,
          {},
          statusTimeoutMilliseconds,
        );
        if (reply.ok) replies.set(nodeId, reply.value as StatusReply);
      }),
    );
    this.#impaired = findImpaired(view, replies);
  }

  /** Shards that were sealed for nothing have to be found again. */
  #askStatusSoon(): void {
    const soon = this.#options.clock.now() + statusIntervalAfterFailureMilliseconds;
    this.#nextStatusAt = Math.min(this.#nextStatusAt, soon);
  }

  #noteFrozen(view: ClaimView): void {
    const now = this.#options.clock.now();
    const frozen = new Set(view.shards.filter((entry) => entry.frozen).map((entry) => entry.id));
    for (const id of frozen) if (!this.#frozenSince.has(id)) this.#frozenSince.set(id, now);
    for (const id of this.#frozenSince.keys()) if (!frozen.has(id)) this.#frozenSince.delete(id);
  }

  #isFreezeOver(view: ShardView): boolean {
    const since = this.#frozenSince.get(view.id);
    const limit =
      this.#options.confirmationLimitMilliseconds ?? defaultConfirmationLimitMilliseconds;
    return since !== undefined && this.#options.clock.now() - since > limit * clockRateAllowance;
  }

  #makeRepair(current: ClaimView | undefined): ShardRepair {
    const { channel, clock, liveNodes, nameView } = this.#options;
    return new ShardRepair({
      channel,
      clock,
      live: liveNodes(),
      candidates: this.#candidates(),
      load: this.#loadOf(current),
      isFreezeOver: (view) => this.#isFreezeOver(view),
      ...(nameView && { nameView }),
    });
  }

  #postpone(detail: string): KeeperRound {
    this.#logger.warn('claim-view-postponed', 'could not replace holders of claims', { detail });
    return { type: 'postponed', detail };
  }
}

function viewOf(outcome: RepairOutcome): ShardView[] {
  return outcome.type === 'postponed' ? [] : [outcome.view];
}

function detailOf(outcome: RepairOutcome): string {
  return outcome.type === 'postponed' ? outcome.detail : outcome.type;
}

/** Starts at another shard each round, so that shards that cannot be repaired hold up no others. */
function rotate<Item>(items: readonly Item[], round: number): readonly Item[] {
  const start = (round * shardsPerRound) % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}

/** Lists, for each shard that needs a new view, the holders that have no records. */
function findImpaired(
  view: ClaimView,
  replies: ReadonlyMap<string, StatusReply>,
): Map<number, readonly HolderCandidate[]> {
  const impaired = new Map<number, readonly HolderCandidate[]>();
  for (const entry of view.shards) {
    const empty = entry.holders.filter((holder) => isEmpty(entry, replies.get(holder.nodeId)));
    const isSealed = entry.holders.some((holder) =>
      replies
        .get(holder.nodeId)
        ?.shards.some((one) => one.shard === entry.shard && one.sealedThrough >= entry.number),
    );
    if (isSealed || empty.length > 0) impaired.set(entry.shard, empty);
  }
  return impaired;
}

function isEmpty(entry: ShardView, reply: StatusReply | undefined): boolean {
  if (reply === undefined) return false;
  const status = reply.shards.find((one) => one.shard === entry.shard);
  return status === undefined || !status.viewIds.includes(entry.id);
}
