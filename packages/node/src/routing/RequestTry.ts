import { whenBodyEnds, type ExecutionOutcome } from '@hickorybridge/peer-protocol';
import type { BackendServerSelector, TryResult } from '@hickorybridge/routing';
import type { Metrics, Span, Tracer } from '@hickorybridge/telemetry';
import type { BackendServerEntry, RequestHead } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { RoutedRequest } from './RoutedRequest.js';

const firstServerError = 500;

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
  readonly hedged: boolean;
  readonly selector: BackendServerSelector;
  readonly send: SendToNode;
  readonly tracer: Tracer;
  readonly metrics: Metrics;
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
    selector.recordSent(entry);
    const span = this.#begin();
    const deadline = this.#deadlineAtBackendServer();
    const head = createHead(request, entry, {
      attempts: this.attempts,
      deadline,
      traceparent: span?.traceparent,
    });
    const outcome = await send(entry, head, request, this.#cancellation.signal);
    const elapsedMilliseconds = clock.now() - this.#startedAt;
    this.#record(outcome, span);
    if (outcome.type !== 'answered') {
      selector.recordResult(entry, this.#failure(outcome));
      return outcome;
    }
    const { report, body } = outcome;
    const serverError = outcome.head.status >= firstServerError;
    selector.recordReport(entry, report, elapsedMilliseconds);
    whenBodyEnds(body, () =>
      selector.recordResult(entry, { type: 'answered', report, elapsedMilliseconds, serverError }),
    );
    return outcome;
  }

  /** The answer needs the way back, so the work has to end earlier by it. */
  #deadlineAtBackendServer(): number {
    const { entry, request, selector } = this.#options;
    return request.deadline - selector.roundTripTo(entry);
  }

  #begin(): Span | undefined {
    const { entry, hedged, request, tracer } = this.#options;
    const { backendServerId, failureDomain, nodeId, region, service } = entry;
    request.flight.add({ type: 'try', backendServerId, nodeId, region, failureDomain, hedged });
    const { traceparent } = request;
    return tracer.start({ name: 'try', service, kind: request.kind.name, traceparent });
  }

  #record(outcome: ExecutionOutcome, span: Span | undefined): void {
    const { entry, metrics, request } = this.#options;
    const { backendServerId } = entry;
    metrics.tries.at(entry.service, outcome.type).add();
    switch (outcome.type) {
      case 'answered':
        request.flight.add({ type: 'answered', backendServerId, status: outcome.head.status });
        span?.end();
        return;
      case 'refused':
        request.flight.add({ type: 'refused', backendServerId, reason: outcome.reason });
        span?.end({ error: outcome.reason });
        return;
      default: {
        const { detail } = outcome;
        request.flight.add({ type: 'lost', backendServerId, mayHaveRun: true, detail });
        span?.end({ error: detail });
      }
    }
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
  own: { attempts: number; deadline: number; traceparent: string | undefined },
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
    deadline: own.deadline,
    depth: request.depth,
    attempts: own.attempts,
    traceparent: own.traceparent ?? request.traceparent,
  };
}
