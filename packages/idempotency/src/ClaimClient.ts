import { randomBytes } from 'node:crypto';

import type { ControlChannel, Location } from '@hickorybridge/types';
import { distanceBetween } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import { ClaimHandle } from './ClaimHandle.js';
import { ClaimRound, RoundResult } from './ClaimRound.js';
import type { RoundOutcome } from './ClaimRound.js';
import { RecordUpdater } from './RecordUpdater.js';
import type { AskedHolders, ClaimedAttempt } from './RecordUpdater.js';
import type { ViewRegister } from './ViewRegister.js';
import { deriveClaimKey, shortenFingerprint } from './claimKey.js';
import type { StoredAnswer } from './claimRecord.js';
import { longestClaimMilliseconds } from './claimView.js';
import type { ShardView } from './claimView.js';

/** A keyed request that wants to run. */
export interface ClaimRequest {
  readonly service: string;
  readonly key: string;
  /** Digest or text of what makes two requests the same, of any length. */
  readonly fingerprint: string;
  /** For diagnosis only; the client makes its own unique name for the attempt. */
  readonly requestId: string;
  /** Monotonic time at which the request's deadline passes, in milliseconds. */
  readonly deadline: number;
}

/** How a claim ended. */
export type ClaimOutcome =
  /** The attempt may run. The handle must be told how it ended. */
  | { readonly type: 'granted'; readonly claim: ClaimHandle }
  /** An earlier attempt has finished; without an answer it may have run and none is kept. */
  | { readonly type: 'finished'; readonly answer?: StoredAnswer | undefined }
  /** Another attempt holds the key: it may run, or has run and its answer is not kept. */
  | { readonly type: 'claimed-elsewhere' }
  /** The key was used with another fingerprint. */
  | { readonly type: 'key-reuse' }
  /** No quorum: this attempt does not run, but an earlier one may have. */
  | { readonly type: 'record-unavailable'; readonly detail: string };

/** Settings and surroundings of a client. */
export interface ClaimClientOptions {
  readonly channel: ControlChannel;
  readonly views: ViewRegister;
  readonly clock: Clock;
  /** Where this router stands; the nearest holders are asked first. */
  readonly location: Location;
  readonly retentionMilliseconds: number;
  /** Longest time to try for a quorum, in milliseconds; half of the time to the deadline counts. */
  readonly patienceMilliseconds?: number;
  /** Makes unique names of attempts; replaced in tests that have to be repeatable. */
  readonly nameAttempt?: () => string;
}

const defaultPatienceMilliseconds = 3_000;
/** Random bytes in the name of a client, which all names of its attempts start with. */
const clientNameBytes = 9;

/** First and longest pause between two rounds, in milliseconds. */
const firstPauseMilliseconds = 10;
const longestPauseMilliseconds = 200;

/** What came of the rounds of a claim. */
interface TriedRounds {
  readonly outcome: RoundOutcome;
  /** Holders asked in the last round. */
  readonly asked: AskedHolders;
  readonly mayHaveLeftRecords: boolean;
}

const withoutView: TriedRounds = {
  outcome: { type: RoundResult.unavailable, isFinal: false, detail: 'no view of the holders' },
  asked: { viewId: '', nodeIds: [] },
  mayHaveLeftRecords: false,
};

/** Claims keys for the requests of a router. */
export class ClaimClient {
  readonly #options: ClaimClientOptions;

  readonly #clock: Clock;

  readonly #updater: RecordUpdater;

  readonly #nameAttempt: () => string;

  readonly #nearest = new WeakMap<ShardView, ShardView['holders']>();

  constructor(options: ClaimClientOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#updater = new RecordUpdater(options);
    this.#nameAttempt = options.nameAttempt ?? createAttemptNames();
  }

  /** Tries to win the key for one attempt. Ends before the deadline and never throws. */
  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const startedAt = this.#clock.now();
    const key = deriveClaimKey(request.service, request.key);
    const fingerprint = shortenFingerprint(request.fingerprint);
    const claim = { ...key, fingerprint, attempt: this.#nameAttempt() };
    const giveUpAt = this.#giveUpAt(startedAt, request.deadline);
    const result = await this.#tryRounds(claim, giveUpAt);
    const { outcome, asked } = result;
    if (outcome.type === RoundResult.granted) {
      return { type: 'granted', claim: this.#makeHandle(claim, asked, startedAt) };
    }
    if (result.mayHaveLeftRecords) this.#updater.release(claim, asked).catch(() => {});
    return toOutcome(outcome);
  }

  #giveUpAt(startedAt: number, deadline: number): number {
    const patience = this.#options.patienceMilliseconds ?? defaultPatienceMilliseconds;
    const remaining = (deadline - startedAt) / 2;
    return startedAt + Math.min(patience, remaining, longestClaimMilliseconds);
  }

  /** Repeats the round while the holders are changing and time is left. */
  async #tryRounds(claim: ClaimedAttempt, giveUpAt: number): Promise<TriedRounds> {
    let pause = firstPauseMilliseconds;
    let mayHaveLeftRecords = false;
    for (;;) {
      const tried = await this.#tryRound(claim, giveUpAt);
      mayHaveLeftRecords ||= tried.mayHaveLeftRecords;
      const isLast = !canRepeat(tried.outcome) || this.#clock.now() + pause >= giveUpAt;
      if (isLast) return { ...tried, mayHaveLeftRecords };
      await this.#clock.sleep(pause);
      pause = Math.min(pause * 2, longestPauseMilliseconds);
    }
  }

  async #tryRound(claim: ClaimedAttempt, giveUpAt: number): Promise<TriedRounds> {
    const view = this.#options.views.shard(claim.shard);
    if (view === undefined) return withoutView;
    const round = new ClaimRound({
      ...this.#options,
      message: { ...claim, viewId: view.id },
      holders: this.#nearestFirst(view),
      giveUpAt,
    });
    const outcome = await round.run();
    const asked = { viewId: view.id, nodeIds: round.asked };
    return { outcome, asked, mayHaveLeftRecords: round.mayHaveLeftRecords };
  }

  #nearestFirst(view: ShardView): ShardView['holders'] {
    const known = this.#nearest.get(view);
    if (known !== undefined) return known;
    const { location } = this.#options;
    const holders = [...view.holders].sort(
      (first, second) => distanceBetween(location, first) - distanceBetween(location, second),
    );
    this.#nearest.set(view, holders);
    return holders;
  }

  #makeHandle(claim: ClaimedAttempt, asked: AskedHolders, startedAt: number): ClaimHandle {
    return new ClaimHandle({
      claim,
      asked,
      updater: this.#updater,
      clock: this.#clock,
      validUntil: startedAt + this.#options.retentionMilliseconds,
    });
  }
}

/** Names attempts by a random name of this client and a counter: no claim pays for randomness. */
function createAttemptNames(): () => string {
  const clientName = randomBytes(clientNameBytes).toString('base64url');
  let count = 0;
  return () => {
    count += 1;
    return `${clientName}${count.toString(36)}`;
  };
}

function canRepeat(outcome: RoundOutcome): boolean {
  return outcome.type === RoundResult.unavailable && !outcome.isFinal;
}

function toOutcome(result: Exclude<RoundOutcome, { type: 'granted' }>): ClaimOutcome {
  if (result.type !== RoundResult.unavailable) return result;
  return { type: 'record-unavailable', detail: result.detail };
}
