import type { ExecutionOutcome } from '@hickorybridge/peer-protocol';
import type { BackendServerSelector, TryResult } from '@hickorybridge/routing';
import type { BackendServerEntry, RequestHead } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { RoutedRequest } from './RoutedRequest.js';

/** Sends a request to the node of a backend server; the own node's is reached directly. */
export type SendToNode = (
  entry: BackendServerEntry,
  head: RequestHead,
  request: RoutedRequest,
  signal: AbortSignal,
) => Promise<ExecutionOutcome>;

/** What a try is made of. */
export interface RequestTryOptions {
  readonly request: RoutedRequest;
  readonly entry: BackendServerEntry;
  /** Permission that this try carries to the calls below it. */
  readonly attempts: number;
  readonly selector: BackendServerSelector;
  readonly send: SendToNode;
  readonly clock: Clock;
}

/** One sending of a request to one backend server. */
export class RequestTry {
  readonly entry: BackendServerEntry;

  readonly attempts: number;

  readonly outcome: Promise<ExecutionOutcome>;

  readonly #options: RequestTryOptions;

  readonly #cancellation = new AbortController();

  readonly #startedAt: number;

  #cancelled = false;

  constructor(options: RequestTryOptions) {
    this.#options = options;
    this.entry = options.entry;
    this.attempts = options.attempts;
    this.#startedAt = options.clock.now();
    this.outcome = this.#run();
  }

  /** Cancels the try; its outcome still says whether it may have run. */
  cancel(): void {
    this.#cancelled = true;
    this.#cancellation.abort();
  }

  async #run(): Promise<ExecutionOutcome> {
    const { clock, entry, request, selector, send } = this.#options;
    selector.sent(entry);
    const head = createHead(request, entry, this.attempts);
    const outcome = await send(entry, head, request, this.#cancellation.signal);
    const elapsedMilliseconds = clock.now() - this.#startedAt;
    if (outcome.type !== 'answered') {
      selector.finished(entry, this.#failure(outcome));
      return outcome;
    }
    const { report, body } = outcome;
    selector.observed(entry, report, elapsedMilliseconds);
    body.once('close', () =>
      selector.finished(entry, { type: 'answered', report, elapsedMilliseconds }),
    );
    return outcome;
  }

  #failure(outcome: Exclude<ExecutionOutcome, { type: 'answered' }>): TryResult {
    if (this.#cancelled) return { type: 'cancelled' };
    if (outcome.type === 'refused') return { type: 'refused', report: outcome.report };
    return { type: 'lost' };
  }
}

function createHead(
  request: RoutedRequest,
  entry: BackendServerEntry,
  attempts: number,
): RequestHead {
  return {
    requestId: request.requestId,
    service: request.service.name,
    backendServerId: entry.backendServerId,
    incarnation: entry.incarnation,
    kind: request.kind.name,
    idempotent: request.kind.idempotent,
    weight: request.kind.weight,
    method: request.method,
    target: request.target,
    headers: request.headers,
    deadline: request.deadline,
    depth: request.depth,
    attempts,
    traceparent: request.traceparent,
  };
}
