import type { ControlChannel } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { ViewRegister } from './ViewRegister.js';
import { encodeFinish, encodeRelease } from './claimCodec.js';
import type { ClaimWire } from './claimCodec.js';
import type { StoredAnswer } from './claimRecord.js';
import { quorumSize } from './claimView.js';
import { ClaimCall } from './messages.js';
import type { ClaimMessage, FinishMessage, RecordReply } from './messages.js';

/** The attempt of a claim, without a view. */
export type ClaimedAttempt = Omit<ClaimMessage, 'viewId'>;

/** Holders that were asked for a claim, in one view. */
export interface AskedHolders {
  readonly viewId: string;
  readonly nodeIds: readonly string[];
}

type RecordMessage = Omit<FinishMessage, 'viewId'>;

/** What an updater works with. */
export interface RecordUpdaterOptions {
  readonly channel: ControlChannel;
  readonly views: ViewRegister;
  readonly clock: Clock;
}

const callTimeoutMilliseconds = 1_000;

/** Pauses before repeated tries, in milliseconds: long enough to outlast a change of view. */
const pausesMilliseconds = [100, 500, 2_000, 5_000];

/** Tells holders how an attempt ended, and repeats this while the holders change. */
export class RecordUpdater {
  readonly #options: RecordUpdaterOptions;

  constructor(options: RecordUpdaterOptions) {
    this.#options = options;
  }

  /** Stores the end of an attempt at a quorum. Returns whether this succeeded. */
  finish(
    claim: ClaimedAttempt,
    asked: AskedHolders,
    answer: StoredAnswer | undefined,
  ): Promise<boolean> {
    const { shard, digest, attempt, fingerprint } = claim;
    const message = { shard, digest, attempt, fingerprint, ...(answer && { answer }) };
    return this.#repeat(ClaimCall.finish, message, asked);
  }

  /** Gives the key free at a quorum. Returns whether this succeeded. */
  release(claim: ClaimedAttempt, asked: AskedHolders): Promise<boolean> {
    return this.#repeat(ClaimCall.release, claim, asked);
  }

  async #repeat(name: string, message: RecordMessage, asked: AskedHolders): Promise<boolean> {
    if (await this.#tellHolders(name, message, asked)) return true;
    for (const pause of pausesMilliseconds) {
      await this.#options.clock.sleep(pause);
      if (await this.#tellHolders(name, message)) return true;
    }
    return false;
  }

  /** Tells the holders that were asked, or all of them when these are not known or not enough. */
  async #tellHolders(name: string, message: RecordMessage, asked?: AskedHolders): Promise<boolean> {
    const view = this.#options.views.shard(message.shard);
    if (view === undefined) return false;
    const body = encodeUpdate(name, { ...message, viewId: view.id });
    const nodeIds =
      asked?.viewId === view.id ? asked.nodeIds : view.holders.map((holder) => holder.nodeId);
    const stored = await Promise.all(nodeIds.map((nodeId) => this.#tell(nodeId, name, body)));
    return stored.filter(Boolean).length >= quorumSize;
  }

  async #tell(nodeId: string, name: string, body: unknown): Promise<boolean> {
    const { channel, views } = this.#options;
    const reply = await channel.call(nodeId, name, body, callTimeoutMilliseconds);
    if (!reply.ok) return false;
    const value = reply.value as RecordReply;
    if (value.type === 'inactive' && value.current) views.applyShard(value.current);
    return value.type === 'stored';
  }
}

function encodeUpdate(name: string, message: FinishMessage): ClaimWire {
  return name === ClaimCall.finish ? encodeFinish(message) : encodeRelease(message);
}
