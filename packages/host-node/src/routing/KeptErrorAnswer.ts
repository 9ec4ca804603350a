import { discardBody, type ExecutionOutcome } from '@hickorybridge/peer-protocol';

export type AnsweredOutcome = Extract<ExecutionOutcome, { type: 'answered' }>;

/**
 * Owns the server error of one attempt while further attempts are made. Its body is either taken or
 * discarded: an exchange whose body nobody reads would keep its slot until the deadline.
 */
export class KeptErrorAnswer {
  #answer: AnsweredOutcome | undefined;

  /** Keeps an answer in place of an earlier one. */
  replace(answer: AnsweredOutcome): void {
    this.discard();
    this.#answer = answer;
  }

  /** Hands over the answer; `undefined` if there is none or its body has broken off meanwhile. */
  take(): AnsweredOutcome | undefined {
    const answer = this.#answer;
    this.#answer = undefined;
    const isBroken = answer?.body.type === 'stream' && answer.body.stream.destroyed;
    return isBroken ? undefined : answer;
  }

  discard(): void {
    if (this.#answer !== undefined) discardBody(this.#answer.body);
    this.#answer = undefined;
  }
}
