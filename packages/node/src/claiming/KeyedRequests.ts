import type { ClaimClient, ClaimOutcome, StoredAnswer } from '@hickorybridge/idempotency';
import { Outcome, ProblemName } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import { createHash } from 'node:crypto';
import { match } from 'ts-pattern';

import { failed, type RoutedOutcome, type RoutedRequest } from '../routing/RoutedRequest.js';
import { splitAnswer } from './splitAnswer.js';

type Claim = Extract<ClaimOutcome, { type: 'granted' }>['claim'];

/** Routes a request that may run now. */
export type Route = (request: RoutedRequest) => Promise<RoutedOutcome>;

// Pauses between two questions for the answer of another attempt.
const firstPauseMilliseconds = 20;
const longestPauseMilliseconds = 200;

/** What `KeyedRequests` is made of. */
export interface KeyedRequestsOptions {
  readonly claims: ClaimClient;
  readonly route: Route;
  /** Aborts when the node has to end all work. */
  readonly ending: AbortSignal;
  readonly clock: Clock;
}

/** Runs requests with an idempotency key at most once each. */
export class KeyedRequests {
  readonly #claims: ClaimClient;

  readonly #route: Route;

  readonly #ending: AbortSignal;

  readonly #clock: Clock;

  constructor(options: KeyedRequestsOptions) {
    this.#claims = options.claims;
    this.#route = options.route;
    this.#ending = options.ending;
    this.#clock = options.clock;
  }

  /** Claims the key, runs the request if the claim is granted, and stores its answer. */
  async run(request: RoutedRequest, key: string): Promise<RoutedOutcome> {
    const outcome = await this.#claimOrWait(request, key);
    request.flight.add({ type: 'claim', result: outcome.type });
    return match(outcome)
      .with({ type: 'granted' }, ({ claim }) => this.#runClaimed(request, claim))
      .with({ type: 'finished' }, ({ answer }) =>
        answer === undefined
          ? failed(
              ProblemName.alreadyClaimed,
              Outcome.unknown,
              'a request with this key has ended; it may have run, and its answer is not kept',
            )
          : replay(answer),
      )
      .with({ type: 'claimed-elsewhere' }, () =>
        failed(
          ProblemName.alreadyClaimed,
          Outcome.unknown,
          'another request with this key may still be running',
        ),
      )
      .with({ type: 'key-reuse' }, () =>
        failed(
          ProblemName.idempotencyKeyReuse,
          Outcome.notRun,
          'a request with this key and another content exists; this one was not run',
        ),
      )
      .with({ type: 'record-unavailable' }, ({ detail }) =>
        failed(
          ProblemName.idempotencyRecordUnavailable,
          Outcome.unknown,
          `this request was not run, but an earlier one with its key may have been: ${detail}`,
        ),
      )
      .exhaustive();
  }

  /**
   * Claims the key. While another attempt holds it, waits for that attempt's answer, so that a
   * request that is sent twice at once gets the same answer twice.
   */
  async #claimOrWait(request: RoutedRequest, key: string): Promise<ClaimOutcome> {
    const claim = {
      service: request.service.name,
      key,
      fingerprint: createFingerprint(request),
      requestId: request.requestId,
      deadline: request.deadline,
    };
    let pause = firstPauseMilliseconds;
    for (;;) {
      const outcome = await this.#claims.claim(claim);
      if (outcome.type !== 'claimed-elsewhere' || request.signal.aborted) return outcome;
      if (this.#clock.now() + pause >= request.deadline) return outcome;
      await this.#clock.sleep(pause, request.signal);
      pause = Math.min(pause * 2, longestPauseMilliseconds);
    }
  }

  /** A claimed request goes on when its caller goes away, so that its answer can be asked for. */
  async #runClaimed(request: RoutedRequest, claim: Claim): Promise<RoutedOutcome> {
    const outcome = await this.#route({ ...request, signal: this.#ending });
    if (outcome.type === 'answered') return storeAnswer(outcome, claim);
    if (outcome.outcome === Outcome.notRun) claim.release();
    else claim.finished();
    return outcome;
  }
}

/** Stores a small answer under the key, and gives the answer back for the caller. */
async function storeAnswer(
  outcome: Extract<RoutedOutcome, { type: 'answered' }>,
  claim: Claim,
): Promise<RoutedOutcome> {
  const { head } = outcome;
  const split = await splitAnswer(outcome.body);
  if (split.type === 'whole') {
    claim.finished({ status: head.status, headers: head.headers, body: split.data });
    return { ...outcome, body: { type: 'whole', data: split.data } };
  }
  claim.finished();
  if (split.type === 'large') {
    return { ...outcome, body: { type: 'stream', stream: split.body } };
  }
  const detail = `the request ran, but its answer broke off: ${split.detail}`;
  return failed(ProblemName.connectionLost, Outcome.unknown, detail);
}

/** Distinguishes requests that have the same key but not the same content. */
function createFingerprint({ body, kind, method, target }: RoutedRequest): string {
  const hash = createHash('sha256').update(`${kind.name}\n${method}\n${target}\n`);
  if (body.type === 'buffered') hash.update(body.data);
  return hash.digest('base64url');
}

function replay(answer: StoredAnswer): RoutedOutcome {
  return {
    type: 'answered',
    head: { status: answer.status, headers: answer.headers },
    body: { type: 'whole', data: Buffer.from(answer.body) },
    replayed: true,
  };
}
