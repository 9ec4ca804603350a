import { randomBytes } from 'node:crypto';

import type { ControlChannel } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { HolderLoad } from './HolderLoad.js';
import { chooseHolders } from './chooseHolders.js';
import { isSameNode, quorumSize } from './claimView.js';
import type { HolderCandidate, ShardView } from './claimView.js';
import { ClaimCall, History } from './messages.js';
import type {
  PrepareMessage,
  PrepareReply,
  SealMessage,
  SealReply,
  StatusReply,
} from './messages.js';

/** What a repair works with. */
export interface ShardRepairOptions {
  readonly channel: ControlChannel;
  readonly clock: Clock;
  readonly live: readonly HolderCandidate[];
  /** Live nodes that may become holders: those on which nothing failed of late. */
  readonly candidates: readonly HolderCandidate[];
  readonly load: HolderLoad;
  /** Whether the time has passed after which no holder of a frozen view can grant. */
  readonly isFreezeOver: (view: ShardView) => boolean;
  readonly nameView?: () => string;
}

/** How the repair of one shard ended. */
export type RepairOutcome =
  /** The new view is prepared at its holders and has to be written. */
  | { readonly type: 'prepared'; readonly view: ShardView }
  /** Two holders may be alive out of reach: the view has to be frozen. */
  | { readonly type: 'freeze'; readonly view: ShardView }
  /** Nothing can be done now; `detail` says why. */
  | {
      readonly type: 'postponed';
      readonly detail: string;
      /** The node on which the repair failed. */
      readonly nodeId?: string;
    };

/** What became of a holder of the former view. */
const HolderState = {
  /** Sealed, with complete records. */
  sealed: 'sealed',
  /** Its process with the records is gone: the node answers without them, or runs again. */
  gone: 'gone',
  /** On no list of live nodes, but perhaps only out of reach, and still granting. */
  lost: 'lost',
  /** Said to be alive, but does not answer. */
  silent: 'silent',
} as const;

type HolderState = (typeof HolderState)[keyof typeof HolderState];

const statusTimeoutMilliseconds = 1_000;
const reachabilityTries = 3;
const sealTimeoutMilliseconds = 2_000;
const prepareTimeoutMilliseconds = 2_000;

/** Longest time for the transfer of a shard's records, in milliseconds. */
const preparationLimitMilliseconds = 60_000;
const firstPollMilliseconds = 10;
const longestPollMilliseconds = 500;
const viewIdBytes = 6;

/** Replaces holders of shards: seal, collect, install. The keeper writes the view afterwards. */
export class ShardRepair {
  readonly #options: ShardRepairOptions;

  constructor(options: ShardRepairOptions) {
    this.#options = options;
  }

  /** Prepares the first view of a shard. */
  async makeFirst(shard: number): Promise<RepairOutcome> {
    const holders = chooseHolders(shard, this.#options.candidates);
    if (holders === undefined) return postponeForNodes(this.#options.live.length);
    return this.#prepareAll(
      { shard, number: 1, id: this.#nameView(), holders, historyStart: 0, frozen: false },
      { history: History.first, sources: [] },
    );
  }

  /** Prepares the view after `former`, whose holders in `kept` are to stay. */
  async replace(former: ShardView, kept: readonly HolderCandidate[]): Promise<RepairOutcome> {
    const reachable = await this.#findReachable(former, kept);
    if (reachable === undefined) return postponeForNodes(this.#options.live.length);
    const states = await this.#sealAll(former);
    const sealed = former.holders.filter((_, index) => states[index] === HolderState.sealed);
    const history = sealed.length >= quorumSize ? History.collected : History.lost;
    const obstacle = history === History.lost ? this.#obstacle(former, states) : undefined;
    if (obstacle !== undefined) return obstacle;
    const stay = kept.filter((holder) => includesNode(sealed, holder));
    const holders = chooseHolders(
      former.shard,
      withoutSilent(reachable, former, states),
      stay,
      this.#options.load,
    );
    if (holders === undefined) return postponeForNodes(this.#options.live.length);
    const historyStart = history === History.lost ? this.#options.clock.wallTime() : undefined;
    const view = {
      ...former,
      number: former.number + 1,
      id: this.#nameView(),
      holders,
      historyStart: historyStart ?? former.historyStart,
      frozen: false,
    };
    return this.#prepareAll(view, { history, formerViewId: former.id, sources: sealed });
  }

  /**
   * Finds the candidates without those that are needed and do not answer. This comes before the
   * seal, because a shard that is sealed for a node that cannot prepare stands still.
   */
  async #findReachable(
    former: ShardView,
    kept: readonly HolderCandidate[],
  ): Promise<readonly HolderCandidate[] | undefined> {
    let { candidates } = this.#options;
    for (let tries = 0; tries < reachabilityTries; tries += 1) {
      const planned = chooseHolders(former.shard, candidates, kept, this.#options.load);
      if (planned === undefined) return undefined;
      const added = planned.filter((node) => !includesNode(former.holders, node));
      const answers = await Promise.all(added.map((node) => this.#answers(node)));
      if (answers.every(Boolean)) return candidates;
      const silent = added.filter((_, index) => !answers[index]);
      candidates = candidates.filter((node) => !includesNode(silent, node));
    }
    return undefined;
  }

  async #answers(node: HolderCandidate): Promise<boolean> {
    const { channel } = this.#options;
    const reply = await channel.call(node.nodeId, ClaimCall.status, {}, statusTimeoutMilliseconds);
    return reply.ok && (reply.value as StatusReply).incarnation === node.incarnation;
  }

  /**
   * Says why history may not be declared lost yet. While two holders of the former view may
   * still grant to each other, a new view could grant what they have granted.
   */
  #obstacle(former: ShardView, states: readonly HolderState[]): RepairOutcome | undefined {
    if (states.includes(HolderState.silent)) {
      return { type: 'postponed', detail: 'a holder that is said to be alive does not answer' };
    }
    const lost = states.filter((state) => state === HolderState.lost).length;
    if (lost < quorumSize) return undefined;
    if (!former.frozen) return { type: 'freeze', view: { ...former, frozen: true } };
    if (this.#options.isFreezeOver(former)) return undefined;
    return { type: 'postponed', detail: 'two lost holders may still be granting claims' };
  }

  /**
   * Seals the holders. Those that are no longer live are waited for only when the others are not
   * enough, because the shard grants nothing from its seal to the new view.
   */
  async #sealAll(former: ShardView): Promise<readonly HolderState[]> {
    const calls = former.holders.map((holder) => ({
      isLive: this.#options.live.some((node) => isSameNode(node, holder)),
      state: this.#seal(former, holder),
    }));
    const first = await Promise.all(
      calls.map((call) => (call.isLive ? call.state : HolderState.lost)),
    );
    const sealed = first.filter((state) => state === HolderState.sealed);
    return sealed.length >= quorumSize ? first : Promise.all(calls.map((call) => call.state));
  }

  async #seal(former: ShardView, holder: HolderCandidate): Promise<HolderState> {
    const { channel, live } = this.#options;
    const body: SealMessage = {
      shard: former.shard,
      viewNumber: former.number,
      viewId: former.id,
    };
    const reply = await channel.call(holder.nodeId, ClaimCall.seal, body, sealTimeoutMilliseconds);
    if (reply.ok)
      return (reply.value as SealReply).complete ? HolderState.sealed : HolderState.gone;
    const present = live.find((node) => node.nodeId === holder.nodeId);
    if (present === undefined) return HolderState.lost;
    return present.incarnation > holder.incarnation ? HolderState.gone : HolderState.silent;
  }

  async #prepareAll(
    view: ShardView,
    origin: Pick<PrepareMessage, 'history' | 'formerViewId' | 'sources'>,
  ): Promise<RepairOutcome> {
    const replies = await Promise.all(
      view.holders.map((holder) =>
        this.#prepare(holder, {
          ...origin,
          shard: view.shard,
          viewNumber: view.number,
          viewId: view.id,
          incarnation: holder.incarnation,
        }),
      ),
    );
    const failed = replies.findIndex((detail) => detail !== undefined);
    if (failed < 0) return { type: 'prepared', view };
    const nodeId = view.holders[failed]?.nodeId ?? '';
    return { type: 'postponed', detail: replies[failed] ?? '', nodeId };
  }

  /** Repeats the call until the node is ready; gives the reason when it is not in time. */
  async #prepare(holder: HolderCandidate, message: PrepareMessage): Promise<string | undefined> {
    const { channel, clock } = this.#options;
    const limit = clock.now() + preparationLimitMilliseconds;
    let pause = firstPollMilliseconds;
    let detail = 'the preparation takes too long';
    while (clock.now() < limit) {
      const reply = await channel.call(
        holder.nodeId,
        ClaimCall.prepare,
        message,
        prepareTimeoutMilliseconds,
      );
      if (!reply.ok) return `node ${holder.nodeId} cannot be asked to prepare: ${reply.error.type}`;
      const value = reply.value as PrepareReply;
      if (value.type === 'ready') return undefined;
      if (value.type === 'failed') {
        detail = `node ${holder.nodeId} could not prepare: ${value.detail}`;
        break;
      }
      await clock.sleep(pause);
      pause = Math.min(pause * 2, longestPollMilliseconds);
    }
    return detail;
  }

  #nameView(): string {
    return this.#options.nameView?.() ?? randomBytes(viewIdBytes).toString('base64url');
  }
}

function includesNode(nodes: readonly HolderCandidate[], node: HolderCandidate): boolean {
  return nodes.some((other) => isSameNode(node, other));
}

/** A node that did not answer the seal would not answer the preparation either. */
function withoutSilent(
  candidates: readonly HolderCandidate[],
  former: ShardView,
  states: readonly HolderState[],
): readonly HolderCandidate[] {
  const silent = former.holders.filter((_, index) => states[index] === HolderState.silent);
  return candidates.filter((node) => !includesNode(silent, node));
}

function postponeForNodes(count: number): RepairOutcome {
  return {
    type: 'postponed',
    detail: `three nodes that answer are needed; ${count} are said to be live`,
  };
}
