import { silentLogger } from '@hickorybridge/logger';
import type { Logger } from '@hickorybridge/logger';
import type { ControlChannel, NodeIdentity } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import { Preparation } from './Preparation.js';
import { RecordBudget } from './RecordBudget.js';
import type { RecordLimits } from './RecordBudget.js';
import { ShardRecords } from './ShardRecords.js';
import type { PreparedView } from './ShardRecords.js';
import { decodeClaim, decodeFinish, decodeRelease } from './claimCodec.js';
import { RecordState } from './claimRecord.js';
import type { ClaimRecord } from './claimRecord.js';
import { longestClaimMilliseconds, shardCount } from './claimView.js';
import type { ClaimView } from './claimView.js';
import { ClaimCall } from './messages.js';
import type {
  ClaimMessage,
  ClaimReply,
  FinishMessage,
  PrepareMessage,
  PrepareReply,
  PullMessage,
  PullReply,
  RecordReply,
  ReleaseMessage,
  SealMessage,
  SealReply,
  StatusReply,
} from './messages.js';
import { makePage } from './recordTransfer.js';

/** Settings and surroundings of a holder. */
export interface ClaimHolderOptions {
  readonly identity: NodeIdentity;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  /** How long records are kept, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** How long a view stays in force without a confirmation from the store, in milliseconds. */
  readonly confirmationLimitMilliseconds?: number;
  readonly limits?: RecordLimits;
  readonly logger?: Logger;
}

/** Six hours: far longer than a partition, and the longest outage of the store to bridge. */
export const defaultConfirmationLimitMilliseconds = 6 * 3_600_000;

/**
 * At 142 bytes a record and less than a byte for each counted byte of an answer
 * (docs/measurements/claims.md), these limits come to about 17 MB of a node's 64 MB.
 */
export const defaultRecordLimits: RecordLimits = { records: 80_000, answerBytes: 6_000_000 };

/** Answers the control calls of claims on a node, and keeps records in memory. */
export class ClaimHolder {
  readonly #options: ClaimHolderOptions;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #budget: RecordBudget;

  readonly #shards = new Map<number, ShardRecords>();

  readonly #preparations = new Map<string, Preparation>();

  constructor(options: ClaimHolderOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#logger = options.logger ?? silentLogger;
    this.#budget = new RecordBudget(options.limits ?? defaultRecordLimits);
    this.#registerHandlers();
  }

  /** Records of all shards together. */
  get recordCount(): number {
    return this.#budget.records;
  }

  /** Bytes of stored answers of all shards together. */
  get answerBytes(): number {
    return this.#budget.answerBytes;
  }

  /** Numbers of the shards for which this node holds records. */
  get heldShards(): number[] {
    return [...this.#shards].filter(([, shard]) => !shard.isIdle).map(([number]) => number);
  }

  /** Takes over a committed view. Shards that went to other nodes are dropped. */
  apply(view: ClaimView): void {
    for (const entry of view.shards) {
      const shard = this.#shards.get(entry.shard);
      if (shard === undefined) continue;
      shard.commit(entry);
      if (shard.isIdle && !this.#isPreparing(entry.shard)) shard.table.clear();
    }
  }

  /**
   * Confirms the views of this process by a view that was read from the store. `readStartedAt` is
   * the monotonic time before the read: afterwards the view may have been replaced.
   */
  confirm(view: ClaimView, readStartedAt: number): void {
    this.apply(view);
    for (const entry of view.shards) {
      const prepared = this.#shards.get(entry.shard)?.prepared(entry.id);
      if (prepared === undefined || entry.frozen) continue;
      prepared.confirmedAt = Math.max(prepared.confirmedAt, readStartedAt);
    }
  }

  /** Drops expired records. To be called now and then, for example each minute. */
  expire(): void {
    const now = this.#clock.now();
    for (const shard of this.#shards.values()) shard.table.expire(now);
  }

  get #recordLifetime(): number {
    return this.#options.retentionMilliseconds + longestClaimMilliseconds;
  }

  #registerHandlers(): void {
    const { channel } = this.#options;
    channel.handle(ClaimCall.claim, (body) => this.#claim(decodeClaim(body)));
    channel.handle(ClaimCall.finish, (body) => this.#finish(decodeFinish(body)));
    channel.handle(ClaimCall.release, (body) => this.#release(decodeRelease(body)));
    channel.handle(ClaimCall.seal, (body) => this.#seal(body as SealMessage));
    channel.handle(ClaimCall.prepare, (body) => this.#prepare(body as PrepareMessage));
    channel.handle(ClaimCall.pull, (body) => this.#pull(body as PullMessage));
    channel.handle(ClaimCall.status, () => this.#status());
  }

  #claim(message: ClaimMessage | undefined): ClaimReply {
    if (message === undefined) return { type: 'malformed' };
    const now = this.#clock.now();
    const shard = this.#shards.get(message.shard);
    const view = this.#activeView(shard, message.viewId, now);
    if (shard === undefined || view === undefined) return inactive(shard, message.viewId);
    const record = shard.table.find(message.digest, now);
    const denial = record === undefined ? undefined : denyBy(record, message);
    if (denial !== undefined) return denial;
    if (now - view.historyStart < this.#recordLifetime) {
      return { type: 'history-incomplete' };
    }
    if (record?.attempt === message.attempt) return { type: 'granted' };
    if (record === undefined && this.#budget.isFull()) return { type: 'full' };
    shard.table.put(message.digest, newRecord(message, now));
    return { type: 'granted' };
  }

  /** Finds the view if this process may grant claims in it. */
  #activeView(
    shard: ShardRecords | undefined,
    viewId: string,
    now: number,
  ): PreparedView | undefined {
    const view = shard?.prepared(viewId);
    if (shard === undefined || view === undefined) return undefined;
    if (view.number <= shard.sealedThrough) return undefined;
    const limit =
      this.#options.confirmationLimitMilliseconds ?? defaultConfirmationLimitMilliseconds;
    return now - view.confirmedAt > limit ? undefined : view;
  }

  /** Only a granted attempt finishes, so its answer replaces what stands. */
  #finish(message: FinishMessage | undefined): RecordReply {
    if (message === undefined) return { type: 'malformed' };
    const now = this.#clock.now();
    const shard = this.#shards.get(message.shard);
    const view = shard?.prepared(message.viewId);
    if (shard === undefined || view === undefined) return inactive(shard, message.viewId);
    const record = shard.table.find(message.digest, now);
    if (record?.state !== RecordState.finished) {
      shard.table.put(message.digest, {
        ...newRecord(message, record?.createdAt ?? now),
        state: RecordState.finished,
        answer: message.answer,
      });
    }
    return view.number <= shard.sealedThrough
      ? inactive(shard, message.viewId)
      : { type: 'stored' };
  }

  #release(message: ReleaseMessage | undefined): RecordReply {
    if (message === undefined) return { type: 'malformed' };
    const now = this.#clock.now();
    const shard = this.#shards.get(message.shard);
    const view = shard?.prepared(message.viewId);
    if (shard === undefined || view === undefined) return inactive(shard, message.viewId);
    const record = shard.table.find(message.digest, now);
    const released = this.#withoutAttempt(record, message, now);
    if (released !== undefined) shard.table.put(message.digest, released);
    return view.number <= shard.sealedThrough
      ? inactive(shard, message.viewId)
      : { type: 'stored' };
  }

  /**
   * Gives the record after the release of an attempt, or `undefined` when the release changes
   * nothing. Without a record a released one is made, because the claim may still be on its way.
   */
  #withoutAttempt(
    record: ClaimRecord | undefined,
    message: ReleaseMessage,
    now: number,
  ): ClaimRecord | undefined {
    if (record !== undefined) return removeAttempt(record, message.attempt);
    if (this.#budget.isFull()) return undefined;
    const claim = newRecord({ ...message, fingerprint: '' }, now);
    return { ...claim, state: RecordState.released };
  }

  #seal(message: SealMessage): SealReply {
    const { incarnation } = this.#options.identity;
    const shard = this.#shards.get(message.shard);
    shard?.seal(message.viewNumber);
    return { complete: shard?.prepared(message.viewId) !== undefined, incarnation };
  }

  #pull(message: PullMessage): PullReply {
    const shard = this.#shards.get(message.shard);
    const view = shard?.prepared(message.viewId);
    if (shard === undefined || view === undefined) return { type: 'no-history' };
    if (view.number > shard.sealedThrough) return { type: 'no-history' };
    shard.sealedDigests ??= shard.table.digests();
    return makePage({
      table: shard.table,
      digests: shard.sealedDigests,
      cursor: message.cursor,
      historyStart: view.historyStart,
      now: this.#clock.now(),
    });
  }

  #prepare(message: PrepareMessage): PrepareReply {
    if (message.incarnation !== this.#options.identity.incarnation) {
      return {
        type: 'failed',
        detail: `this is incarnation ${this.#options.identity.incarnation}`,
      };
    }
    if (!isShardNumber(message.shard)) {
      return { type: 'failed', detail: `shards are 0 to ${shardCount - 1}, not ${message.shard}` };
    }
    const shard = this.#shardFor(message.shard);
    if (shard.prepared(message.viewId) !== undefined) return { type: 'ready' };
    if (message.viewNumber <= (shard.committed?.number ?? 0)) {
      return { type: 'failed', detail: `view number ${message.viewNumber} is already taken` };
    }
    return this.#continuePreparation(message, shard);
  }

  #continuePreparation(message: PrepareMessage, shard: ShardRecords): PrepareReply {
    const running = this.#preparations.get(message.viewId);
    if (running?.failure !== undefined) {
      this.#preparations.delete(message.viewId);
      return { type: 'failed', detail: running.failure };
    }
    if (running !== undefined) return { type: 'in-progress' };
    const preparation = new Preparation({ ...this.#options, message, shard });
    this.#preparations.set(message.viewId, preparation);
    preparation.finished.then(() => {
      if (preparation.failure === undefined) this.#preparations.delete(message.viewId);
      else this.#logPreparationFailure(message, preparation.failure);
    });
    return { type: 'in-progress' };
  }

  #logPreparationFailure(message: PrepareMessage, detail: string): void {
    this.#logger.warn('claim-view-not-prepared', 'could not prepare a claim view', {
      shard: message.shard,
      viewNumber: message.viewNumber,
      detail,
    });
  }

  #isPreparing(shard: number): boolean {
    return [...this.#preparations.values()].some(
      (preparation) => preparation.shard === shard && preparation.failure === undefined,
    );
  }

  #status(): StatusReply {
    const shards = [...this.#shards].map(([number, shard]) => ({
      shard: number,
      viewIds: shard.preparedIds,
      sealedThrough: shard.sealedThrough,
    }));
    return { incarnation: this.#options.identity.incarnation, shards };
  }

  #shardFor(number: number): ShardRecords {
    const existing = this.#shards.get(number);
    if (existing !== undefined) return existing;
    const created = new ShardRecords(this.#recordLifetime, this.#budget);
    this.#shards.set(number, created);
    return created;
  }
}

function isShardNumber(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value < shardCount;
}

function inactive(
  shard: ShardRecords | undefined,
  viewId: string,
): { readonly type: 'inactive'; readonly current?: ShardRecords['committed'] } {
  const current = shard?.committed;
  return current === undefined || current.id === viewId
    ? { type: 'inactive' }
    : { type: 'inactive', current };
}

/** Says why a record stands against a claim; `undefined` when it does not. */
function denyBy(record: ClaimRecord, message: ClaimMessage): ClaimReply | undefined {
  const isContested = record.rivals.length > 0;
  const isOwn = record.attempt === message.attempt && !isContested;
  if (record.state === RecordState.released) return isOwn ? { type: 'claimed' } : undefined;
  if (isOwn) return record.state === RecordState.claimed ? undefined : { type: 'claimed' };
  if (!isContested && record.fingerprint !== message.fingerprint) return { type: 'key-reuse' };
  if (record.state === RecordState.finished) return { type: 'finished', answer: record.answer };
  return { type: 'claimed' };
}

function newRecord(message: ClaimMessage | FinishMessage, createdAt: number): ClaimRecord {
  return {
    attempt: message.attempt,
    rivals: [],
    fingerprint: message.fingerprint,
    state: RecordState.claimed,
    answer: undefined,
    createdAt,
  };
}

/** Gives the record without an attempt; `undefined` when the attempt does not hold it. */
function removeAttempt(record: ClaimRecord, released: string): ClaimRecord | undefined {
  if (record.state !== RecordState.claimed) return undefined;
  const remaining = [record.attempt, ...record.rivals].filter((attempt) => attempt !== released);
  if (remaining.length > record.rivals.length) return undefined;
  const [attempt, ...rivals] = remaining;
  if (attempt === undefined) return { ...record, state: RecordState.released };
  return { ...record, attempt, rivals };
}
