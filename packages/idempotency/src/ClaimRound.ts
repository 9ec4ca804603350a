import { Distance, distanceBetween } from '@hickorybridge/types';
import type { ControlChannel, Location } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { ViewRegister } from './ViewRegister.js';
import type { StoredAnswer } from './claimRecord.js';
import { encodeClaim } from './claimCodec.js';
import { quorumSize } from './claimView.js';
import type { HolderCandidate } from './claimView.js';
import { ClaimCall } from './messages.js';
import type { ClaimMessage, ClaimReply } from './messages.js';

/** Names of a round's outcomes. */
export const RoundResult = {
  granted: 'granted',
  finished: 'finished',
  keyReuse: 'key-reuse',
  claimedElsewhere: 'claimed-elsewhere',
  unavailable: 'unavailable',
} as const;

/** How one round of questions to the holders ended. */
export type RoundOutcome =
  | { readonly type: 'granted' }
  | { readonly type: 'finished'; readonly answer?: StoredAnswer | undefined }
  | { readonly type: 'key-reuse' }
  | { readonly type: 'claimed-elsewhere' }
  /** `isFinal` says that another round cannot help within a request's time. */
  | { readonly type: 'unavailable'; readonly isFinal: boolean; readonly detail: string };

/** What a round works on. */
export interface ClaimRoundOptions {
  readonly channel: ControlChannel;
  readonly views: ViewRegister;
  readonly clock: Clock;
  readonly location: Location;
  readonly message: ClaimMessage;
  /** The nearest first. */
  readonly holders: readonly HolderCandidate[];
  readonly giveUpAt: number;
}

type HolderReply = ClaimReply | { readonly type: 'no-reply' };

/** Longest wait for one holder, in milliseconds. */
const callTimeoutMilliseconds = 1_000;

/**
 * Wait for the first two holders before the third is asked, in milliseconds: above the usual
 * reply time, so that a healthy shard costs two messages.
 */
const spareDelayMilliseconds = { near: 10, far: 100 };

/** Asks the nearest two holders of one view, and the third when these do not grant quickly. */
export class ClaimRound {
  readonly #options: ClaimRoundOptions;

  readonly #replies: HolderReply[] = [];

  readonly #asked = new Set<string>();

  #resolve: ((outcome: RoundOutcome) => void) | undefined;

  #isDecided = false;

  constructor(options: ClaimRoundOptions) {
    this.#options = options;
  }

  /** Node names of the holders that were asked. */
  get asked(): readonly string[] {
    return [...this.#asked];
  }

  /** Whether a holder may have made a record of this attempt. */
  get mayHaveLeftRecords(): boolean {
    const granted = this.#count('granted');
    const repliesWithoutRecord = this.#replies.length - granted - this.#count('no-reply');
    return repliesWithoutRecord < this.#asked.size;
  }

  /** Runs the round to its end. */
  async run(): Promise<RoundOutcome> {
    const decided = new Promise<RoundOutcome>((resolve) => {
      this.#resolve = resolve;
    });
    const first = this.#options.holders.slice(0, quorumSize);
    for (const holder of first) this.#ask(holder);
    this.#askSpareLater();
    return decided;
  }

  /** The wait runs on after the decision: an abort costs more than the rest of a claim's timers. */
  async #askSpareLater(): Promise<void> {
    const farthest = this.#options.holders[quorumSize - 1] ?? this.#options.location;
    const isFar = distanceBetween(this.#options.location, farthest) === Distance.otherRegion;
    const delay = isFar ? spareDelayMilliseconds.far : spareDelayMilliseconds.near;
    await this.#options.clock.sleep(delay);
    this.#askSpare();
  }

  #askSpare(): void {
    if (this.#isDecided) return;
    for (const holder of this.#options.holders) this.#ask(holder);
  }

  async #ask(holder: HolderCandidate): Promise<void> {
    if (this.#asked.has(holder.nodeId)) return;
    this.#asked.add(holder.nodeId);
    const { channel, clock, message, giveUpAt } = this.#options;
    const timeout = Math.max(1, Math.min(callTimeoutMilliseconds, giveUpAt - clock.now()));
    const body = encodeClaim(message);
    const reply = await channel.call(holder.nodeId, ClaimCall.claim, body, timeout);
    this.#take(reply.ok ? (reply.value as ClaimReply) : { type: 'no-reply' });
  }

  #take(reply: HolderReply): void {
    if (this.#isDecided) return;
    this.#replies.push(reply);
    this.#learnView(reply);
    if (reply.type !== 'granted') this.#askSpare();
    const outcome = this.#evaluate(reply);
    if (outcome !== undefined) this.#close(outcome);
  }

  #close(outcome: RoundOutcome): void {
    this.#isDecided = true;
    this.#resolve?.(outcome);
  }

  #evaluate(latest: HolderReply): RoundOutcome | undefined {
    if (latest.type === 'finished') return latest;
    if (this.#count('granted') >= quorumSize) return this.#grant();
    const isComplete = this.#replies.length >= this.#options.holders.length;
    const denials = this.#count('claimed') + this.#count('key-reuse');
    if (!isComplete && denials < quorumSize) return undefined;
    if (this.#count('key-reuse') > 0) return { type: RoundResult.keyReuse };
    if (denials > 0) return { type: RoundResult.claimedElsewhere };
    return this.#unavailable();
  }

  /** After a pause of this process a grant may be older than the request's time permits. */
  #grant(): RoundOutcome {
    if (this.#options.clock.now() < this.#options.giveUpAt) return { type: RoundResult.granted };
    return { type: RoundResult.unavailable, isFinal: true, detail: 'the quorum came too late' };
  }

  #unavailable(): RoundOutcome {
    const detail = this.#replies.map((reply) => reply.type).join(', ');
    const isFinal = this.#count('history-incomplete') + this.#count('full') >= quorumSize;
    return { type: RoundResult.unavailable, isFinal, detail: `replies of the holders: ${detail}` };
  }

  #count(type: HolderReply['type']): number {
    return this.#replies.filter((reply) => reply.type === type).length;
  }

  #learnView(reply: HolderReply): void {
    if (reply.type === 'inactive' && reply.current) this.#options.views.applyShard(reply.current);
  }
}
