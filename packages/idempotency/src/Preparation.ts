import type { ControlChannel, NodeIdentity } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { ShardRecords } from './ShardRecords.js';
import { isSameNode } from './claimView.js';
import type { HolderCandidate } from './claimView.js';
import { ClaimCall, History } from './messages.js';
import type { PrepareMessage, PullMessage, PullReply } from './messages.js';
import { fromTransferred } from './recordTransfer.js';

/** What a preparation works on. */
export interface PreparationOptions {
  readonly identity: NodeIdentity;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  readonly message: PrepareMessage;
  readonly shard: ShardRecords;
}

/** Time to wait for one page of records, in milliseconds. */
const pullTimeoutMilliseconds = 3_000;

/** Tries for one page before the preparation fails. */
const pullTries = 3;

/** Gets a node ready for a view: pulls the records of all sources and merges them. */
export class Preparation {
  /** Fulfilled when the preparation has ended, well or not. */
  readonly finished: Promise<void>;

  readonly #options: PreparationOptions;

  #failure: string | undefined;

  constructor(options: PreparationOptions) {
    this.#options = options;
    this.finished = this.#run();
  }

  get shard(): number {
    return this.#options.message.shard;
  }

  /** Why the preparation ended without success. */
  get failure(): string | undefined {
    return this.#failure;
  }

  async #run(): Promise<void> {
    const { message, shard, clock } = this.#options;
    const startedAt = clock.now();
    const starts: number[] = [];
    for (const source of message.sources) {
      const historyStart = await this.#takeFrom(source);
      if (historyStart === undefined) return;
      starts.push(historyStart);
    }
    shard.addPrepared({
      id: message.viewId,
      number: message.viewNumber,
      historyStart: historyStartOf(message.history, starts, clock.now()),
      confirmedAt: startedAt,
    });
  }

  /** Takes over one source's records; gives the start of its history, or records a failure. */
  async #takeFrom(source: HolderCandidate): Promise<number | undefined> {
    if (isSameNode(source, this.#options.identity)) return this.#takeOwn();
    let cursor: number | undefined = 0;
    let historyStart = 0;
    while (cursor !== undefined) {
      const page = await this.#pull(source, cursor);
      if (page?.type !== 'page') return this.#fail(`no records from node ${source.nodeId}`);
      const receivedAt = this.#options.clock.now();
      if (cursor === 0) historyStart = receivedAt - page.historyAge;
      this.#merge(page, receivedAt);
      cursor = page.next;
    }
    return historyStart;
  }

  #takeOwn(): number | undefined {
    const { message, shard } = this.#options;
    const former = shard.prepared(message.formerViewId ?? '');
    if (former !== undefined && former.number <= shard.sealedThrough) return former.historyStart;
    return this.#fail('this node is named as a source but has no sealed records');
  }

  async #pull(source: HolderCandidate, cursor: number): Promise<PullReply | undefined> {
    const { message, channel } = this.#options;
    const body: PullMessage = { shard: message.shard, viewId: message.formerViewId ?? '', cursor };
    for (let tries = 0; tries < pullTries; tries += 1) {
      const reply = await channel.call(
        source.nodeId,
        ClaimCall.pull,
        body,
        pullTimeoutMilliseconds,
      );
      if (reply.ok) return reply.value as PullReply;
    }
    return undefined;
  }

  #merge(page: Extract<PullReply, { type: 'page' }>, receivedAt: number): void {
    for (const transferred of page.records) {
      const record = fromTransferred(transferred, receivedAt);
      this.#options.shard.table.merge(transferred.digest, record, receivedAt);
    }
  }

  #fail(detail: string): undefined {
    this.#failure = detail;
    return undefined;
  }
}

/** Each source's start is at or after the true one, so the earliest is the best bound. */
function historyStartOf(history: History, starts: readonly number[], now: number): number {
  if (history === History.first) return -Infinity;
  return history === History.collected ? Math.min(...starts) : now;
}
