import type { ClaimClient, ClaimOutcome, StoredAnswer } from '@hickorybridge/idempotency';
import { Outcome, ProblemName } from '@hickorybridge/types';
import { createHash } from 'node:crypto';
import { Readable } from 'node:stream';
import { match } from 'ts-pattern';

import { failed, type RoutedOutcome, type RoutedRequest } from '../routing/RoutedRequest.js';
import { splitAnswer } from './splitAnswer.js';

type Claim = Extract<ClaimOutcome, { type: 'granted' }>['claim'];

/** Routes a request that may run now. */
export type Route = (request: RoutedRequest) => Promise<RoutedOutcome>;

/** Runs requests with an idempotency key at most once each. */
export class KeyedRequests {
  readonly #claims: ClaimClient;

  readonly #route: Route;

  /** Aborts when the node has to end all work. */
  readonly #ending: AbortSignal;

  constructor(claims: ClaimClient, route: Route, ending: AbortSignal) {
    this.#claims = claims;
    this.#route = route;
    this.#ending = ending;
  }

  /** Claims the key, runs the request if the claim is granted, and stores its answer. */
  async run(request: RoutedRequest, key: string): Promise<RoutedOutcome> {
    const outcome = await this.#claims.claim({
      service: request.service.name,
      key,
      fingerprint: createFingerprint(request),
      requestId: request.requestId,
      deadline: request.deadline,
    });
    request.flight.add({ type: 'claim', result: outcome.type });
    return match(outcome)
      .with({ type: 'granted' }, ({ claim }) => this.#runClaimed(request, claim))
      .with({ type: 'finished' }, ({ answer }) => replay(answer))
      .with({ type: 'claimed-elsewhere' }, () =>
        failed(
          ProblemName.alreadyClaimed,
          Outcome.unknown,
          'another request with this key may be running, or has run and its answer is not kept',
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
    return { ...outcome, body: Readable.from([split.data], { objectMode: false }) };
  }
  claim.finished();
  if (split.type === 'large') return { ...outcome, body: split.body };
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
    body: Readable.from([Buffer.from(answer.body)], { objectMode: false }),
    replayed: true,
  };
}
