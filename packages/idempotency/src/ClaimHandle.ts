import type { Clock } from '@hickorybridge/utils';

import type { AskedHolders, ClaimedAttempt, RecordUpdater } from './RecordUpdater.js';
import { answerBytes, maximumAnswerBytes } from './claimRecord.js';
import type { StoredAnswer } from './claimRecord.js';

/** What a handle works on. */
export interface ClaimHandleOptions {
  readonly claim: ClaimedAttempt;
  readonly asked: AskedHolders;
  readonly updater: RecordUpdater;
  readonly clock: Clock;
  readonly validUntil: number;
}

/** A won claim. Exactly one of `finished` and `release` is to be called, once. */
export class ClaimHandle {
  readonly #options: ClaimHandleOptions;

  #isClosed = false;

  constructor(options: ClaimHandleOptions) {
    this.#options = options;
  }

  /**
   * Whether the attempt may still be sent to a backend server. To be checked before each try: a
   * router that was paused for the whole retention must not run what others may have claimed.
   */
  get isValid(): boolean {
    return !this.#isClosed && this.#options.clock.now() < this.#options.validUntil;
  }

  /**
   * Tells the holders that the attempt has run or may have run. The answer is kept when it is at
   * most 16 KB; without one, later requests with the key learn only that it is claimed. Returns
   * whether a quorum has stored it.
   */
  async finished(answer?: StoredAnswer): Promise<boolean> {
    if (this.#isClosed) return false;
    this.#isClosed = true;
    const kept = answerBytes(answer) <= maximumAnswerBytes ? answer : undefined;
    return this.#options.updater.finish(this.#options.claim, this.#options.asked, kept);
  }

  /** Gives the key free. Only for an attempt that is proven not to have run. */
  async release(): Promise<boolean> {
    if (this.#isClosed) return false;
    this.#isClosed = true;
    return this.#options.updater.release(this.#options.claim, this.#options.asked);
  }
}
