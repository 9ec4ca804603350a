import type { Quotas } from '@hickorybridge/coordination';
import type { Logger } from '@hickorybridge/logger';
import { HeaderNames } from '@hickorybridge/platform';
import { maxWholeBodyBytes, type RequestBody } from '@hickorybridge/peer-protocol';
import type {
  CallerLimits,
  HeaderList,
  Result,
  Route,
  SocketAddress,
  Tenant,
} from '@hickorybridge/types';
import {
  ListenerOpener,
  type Clock,
  type ConnectionAccount,
  type ListenError,
  type StallDetector,
} from '@hickorybridge/utils';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { endToEndHeaders, findMalformedName } from '../headers.js';
import { FailureReason, type CallerOutcome, type CallerRequest } from '../routing/CallerRequest.js';
import type { RequestRouter } from '../routing/RequestRouter.js';
import { createCallersServer } from './createCallersServer.js';
import { HeadErrorResponder } from './HeadErrorResponder.js';
import { identifyTenant } from './identifyTenant.js';
import { limitConnections } from './limitConnections.js';
import { PipelinedResponses } from './PipelinedResponses.js';
import { readBody } from './readBody.js';
import { abortAnswer, sendOutcome } from './sendOutcome.js';

export interface CallersListenerOptions {
  readonly router: RequestRouter;
  /** Service of this host, sent to backend servers as the calling service. */
  readonly service: () => string;
  /** Whether a request is a call that the backend server makes while it runs another request. */
  readonly isNestedCall: (requestId: string) => boolean;
  /** Whether a nested call belongs to a run that repeats another one. */
  readonly isBelowRepeat: (requestId: string) => boolean;
  /** When the node ends, in monotonic milliseconds; `undefined` unless it is shutting down. */
  readonly endsAt: () => number | undefined;
  /** Limits of the tenants; absent if the platform does not check them. */
  readonly quotas?: Pick<Quotas, 'acquire' | 'release'>;
  readonly onFinished: (exchange: FinishedRequest) => void;
  readonly stallDetector: Pick<StallDetector, 'recordActivity' | 'unreadSince'>;
  readonly account: ConnectionAccount;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A finished request with its outcome and duration. */
export interface FinishedRequest {
  readonly requestId: string;
  readonly route: Route | undefined;
  readonly service: string | undefined;
  readonly outcome: CallerOutcome;
  readonly milliseconds: number;
  readonly depth: number;
}

// Connections stay open this much longer than the configured limit, so that a request that a caller
// sends just within the limit is still accepted.
const idleMarginMilliseconds = 1000;
// Above any configured limit; the configured limit is checked for each request.
const maxParsedHeaderBytes = 256 * 1024;
const defaultIdleMilliseconds = 15_000;
/** Until a configuration is known. */
const defaultMaxHeaderBytes = 64 * 1024;
/** For the request line, and for what a piece holds beside the head. */
const requestLineBytes = 24 * 1024;
// Node.js looks for heads that took too long only every 30 s by default.
const headTimeoutCheckMilliseconds = 1000;
// Suggested retry delay: a node reads its configuration, or restarts, within about this time.
const startupRetryMilliseconds = 700;
// Callers are seen to send a few requests ahead; the others wait for their turn.
const maxPipelinedRuns = 32;
// The HTTP client of Node.js refuses to send a path with these characters.
const notForwardable = /[^\u0021-\u00ff]/;
const defaultRemainingMilliseconds = 30_000;
// Timers of Node.js fire at once when their delay exceeds 24 days.
const maxRemainingMilliseconds = 3_600_000;

/** Headers that only the node sets where the configuration has tenants. */
const identityHeaders: ReadonlySet<string> = new Set([
  HeaderNames.authorization,
  HeaderNames.tenant,
]);

type FailedOutcome = Extract<CallerOutcome, { type: 'failed' }>;

/** The fault may have come after the request was sent, so this does not promise that it did not run. */
const nodeFault: FailedOutcome = {
  type: 'failed',
  reason: FailureReason.nodeFault,
  mayHaveRun: true,
  detail: 'a fault of this node',
};

/** For a request that this process cannot answer before its end, or not surely. */
const refusalBeforeEnd: FailedOutcome = {
  type: 'failed',
  reason: FailureReason.stopping,
  mayHaveRun: false,
  detail: 'this node is about to end',
  returnMilliseconds: startupRetryMilliseconds,
};

/** Accepts HTTP requests from callers on this host, including its backend server. */
export class CallersListener implements AsyncDisposable {
  readonly #options: CallersListenerOptions;

  readonly #server: Server;

  /** Requests that have no complete answer yet. */
  readonly #openRequests = new Map<ServerResponse, AbortController>();

  readonly #headErrors = new HeadErrorResponder();

  readonly #pipelined = new PipelinedResponses();

  #stoppedAccepting = false;

  #maxHeadBytes = defaultMaxHeaderBytes + requestLineBytes;

  constructor(options: CallersListenerOptions) {
    this.#options = options;
    this.#server = createCallersServer({
      maxHeaderSize: maxParsedHeaderBytes,
      connectionsCheckingInterval: headTimeoutCheckMilliseconds,
      noDelay: true,
    });
    this.#server.keepAliveTimeout = defaultIdleMilliseconds + idleMarginMilliseconds;
    this.#server.requestTimeout = 0;
    limitConnections(this.#server, {
      account: options.account,
      listener: 'callers',
      maxHeadBytes: () => this.#maxHeadBytes,
    });
    this.#server.on('connection', () => options.stallDetector.recordActivity());
    this.#server.on('request', (request, response) => this.#accept(request, response));
    this.#server.on('clientError', (error, socket) => this.#headErrors.reject(error, socket));
  }

  /** Number of requests that have no complete answer yet. */
  get open(): number {
    return this.#openRequests.size;
  }

  async listen(
    address: SocketAddress,
    opener = ListenerOpener.withoutRetry(),
  ): Promise<Result<SocketAddress, ListenError>> {
    return opener.open(this.#server, address);
  }

  /** Applies the configured timeouts to the server. */
  applyLimits(limits: CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds + idleMarginMilliseconds;
    this.#server.headersTimeout = limits.headerTimeoutMilliseconds + idleMarginMilliseconds;
    this.#maxHeadBytes = limits.maxHeaderBytes + requestLineBytes;
  }

  /**
   * Refuses further requests, because their answers might come after the shutdown. The listener stays
   * open: a refusal tells callers when to return, and calls of running requests are still served.
   */
  stopAccepting(): void {
    this.#stoppedAccepting = true;
  }

  /**
   * Ends the open requests, which the end of the process would cut off: answers them with a failure,
   * and resets the connections on which an answer has begun.
   */
  endOpenRequests(): void {
    for (const [response, cancellation] of this.#openRequests) {
      if (!response.headersSent) cancellation.abort(FailureReason.stopping);
      else if (!response.writableFinished) abortAnswer(response);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Takes a request. A pipelined one that is not idempotent waits for its turn: the answer before it
   * may end the connection, and then the request must not run.
   */
  #accept(request: IncomingMessage, response: ServerResponse): void {
    // The refusal of an earlier head closes the connection.
    if (this.#headErrors.hasRejected(request.socket)) return;
    // The caller's time runs while its request lies unread.
    const arrivedAt = this.#options.stallDetector.unreadSince();
    this.#headErrors.recordResponse(response);
    const answer = () => this.#answer(request, response, arrivedAt);
    if (response.socket === null) this.#pipelined.add(response);
    if (response.socket === null && !this.#mayRunAhead(request)) response.once('socket', answer);
    else answer();
  }

  /** Whether a pipelined request may run before earlier ones of its connection are answered. */
  #mayRunAhead({ headers, socket, url = '' }: IncomingMessage): boolean {
    if (this.#pipelined.countOf(socket) > maxPipelinedRuns) return false;
    return this.#options.router.findRoute(headers.host ?? '', url)?.idempotent ?? false;
  }

  /** Handles a request. Every request is answered, also when an operation fails unexpectedly. */
  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAt: number,
  ): Promise<void> {
    const { clock, endsAt, onFinished } = this.#options;
    const cancellation = new AbortController();
    this.#openRequests.set(response, cancellation);
    response.once('close', () => {
      this.#openRequests.delete(response);
      // Most responses are complete, and an abort is expensive.
      if (!response.writableFinished) cancellation.abort();
    });
    const requestId = singleHeader(request, HeaderNames.requestId) ?? '';
    let found: RouteMatch | undefined;
    let outcome: CallerOutcome;
    try {
      const match = this.#findRoute(request, requestId);
      if (match.type === 'found') found = match;
      outcome =
        match.type === 'failed'
          ? match
          : await this.#routeWithinQuota({
              request,
              requestId,
              found: match,
              arrivedAt,
              signal: cancellation.signal,
            });
    } catch (error) {
      this.#logFault(requestId, error);
      outcome = nodeFault;
    }
    if (endsAt() !== undefined) response.shouldKeepAlive = false;
    const sent = sendOutcome(request, response, outcome);
    if (sent !== outcome) this.#logNotSendable(requestId, sent);
    onFinished({
      requestId,
      route: found?.route,
      service: found?.service,
      outcome: sent,
      milliseconds: clock.now() - arrivedAt,
      depth: found?.depth ?? 0,
    });
  }

  /** Routes a request if its tenant may send one more. Nested calls do not count. */
  async #routeWithinQuota(routable: RoutableRequest): Promise<CallerOutcome> {
    const { quotas } = this.#options;
    const { depth, tenant } = routable.found;
    if (quotas === undefined || tenant === undefined || depth > 0) return this.#route(routable);
    const pending = quotas.acquire(tenant);
    const decision = pending instanceof Promise ? await pending : pending;
    if (decision.type === 'over-quota') {
      const returnMilliseconds = decision.retryMilliseconds;
      const detail = 'the tenant has sent more requests than its limit allows';
      return { ...failure(FailureReason.overQuota, detail), returnMilliseconds };
    }
    if (routable.signal.aborted) {
      quotas.release(tenant, decision.token);
      return failure(FailureReason.callerLeft, 'the caller has left');
    }
    const outcome = await this.#route(routable);
    if (outcome.type === 'failed' && !outcome.mayHaveRun) quotas.release(tenant, decision.token);
    return outcome;
  }

  async #route(routable: RoutableRequest): Promise<CallerOutcome> {
    const { found, request } = routable;
    const body = await readBody(request, {
      maxBytes: found.limits.maxBodyBytes,
      maxBufferedBytes: maxWholeBodyBytes,
    });
    if (body === 'too-large') {
      return failure(FailureReason.bodyTooLarge, 'the body is larger than allowed');
    }
    if (body === 'broken') {
      return failure(FailureReason.callerLeft, 'the body did not arrive completely');
    }
    return this.#options.router.route(this.#toCallerRequest({ ...routable, body }));
  }

  #logFault(requestId: string, error: unknown): void {
    this.#options.logger.error('request-fault', 'handling a request failed unexpectedly', {
      requestId,
      detail: error instanceof Error ? (error.stack ?? error.message) : String(error),
    });
  }

  #logNotSendable(requestId: string, outcome: CallerOutcome): void {
    this.#options.logger.warn('answer-not-sendable', 'an answer cannot be sent as HTTP', {
      requestId,
      detail: outcome.type === 'failed' ? outcome.detail : undefined,
    });
  }

  #findRoute(request: IncomingMessage, requestId: string): RouteMatch | FailedOutcome {
    const { router } = this.#options;
    const { configuration } = router;
    const isNestedCall = this.#options.isNestedCall(requestId);
    if (this.#stoppedAccepting && !isNestedCall) return refusalBeforeEnd;
    if (configuration === undefined) {
      const detail = 'this node knows no configuration yet';
      return {
        ...failure(FailureReason.noConfiguration, detail),
        returnMilliseconds: startupRetryMilliseconds,
      };
    }
    const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
    if (headerBytes > configuration.limits.maxHeaderBytes) {
      return failure(FailureReason.headersTooLarge, 'the headers are larger than allowed');
    }
    const malformed = describeMalformedHead(request);
    if (malformed !== undefined) return failure(FailureReason.badRequest, malformed);
    const host = request.headers.host ?? '';
    const route = router.findRoute(host, request.url ?? '');
    if (route === undefined) {
      return failure(FailureReason.noRoute, `no route for host "${host}" and this path`);
    }
    if (this.#endsBeforeAnswer(request, route)) return refusalBeforeEnd;
    // Backend servers reject such a request, so that it would only take a slot from others.
    if (requestId === '') return failure(FailureReason.badRequest, 'the request has no Request-Id');
    const { authorization } = request.headers;
    const identity = identifyTenant({ configuration, route, authorization, isNestedCall });
    if (identity.type === 'unknown-key') {
      return failure(FailureReason.unauthorized, 'no tenant holds the API key of the request');
    }
    return {
      type: 'found',
      route,
      service: router.chooseService(route),
      depth: isNestedCall ? 1 : 0,
      limits: configuration.limits,
      tenant: identity.tenant,
      hasTenants: configuration.tenantsByKey !== undefined,
    };
  }

  /** Whether this node may end before a request of the route is answered. */
  #endsBeforeAnswer(request: IncomingMessage, route: Route): boolean {
    const { clock, endsAt, router } = this.#options;
    const end = endsAt();
    if (end === undefined) return false;
    // Nothing excuses cutting off a request that came after this node stopped accepting, so that it
    // needs its whole time, not only what its route usually takes.
    const neededMilliseconds = this.#stoppedAccepting
      ? Math.min(remainingMillisecondsOf(request), route.timeoutMilliseconds)
      : router.expectedWork(route);
    return clock.now() + neededMilliseconds > end;
  }

  #toCallerRequest(options: RoutableRequest & { readonly body: RequestBody }): CallerRequest {
    const { arrivedAt, body, found, request, requestId, signal } = options;
    const { depth, route, service, tenant } = found;
    const remaining = remainingMillisecondsOf(request);
    // A host refuses a request that it cannot answer by its deadline, so a node that is shutting down
    // does not start work that its end would cut off.
    const deadline = Math.min(
      arrivedAt + Math.min(remaining, route.timeoutMilliseconds),
      this.#options.endsAt() ?? Infinity,
    );
    // The remaining time of a nested call comes from its parent request, so it does not tell how
    // long earlier attempts took.
    const waited =
      depth > 0
        ? 0
        : this.#options.router.callerTimeoutEstimator.estimateElapsed(route.name, remaining);
    return {
      requestId,
      route,
      service,
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      headers: this.#forwardedHeaders(request, found),
      body,
      arrivedAt,
      usefulUntil: Math.min(deadline, arrivedAt + route.targetMilliseconds - waited),
      deadline,
      callerDeadline: arrivedAt + remaining,
      depth,
      isBelowRepeat: depth > 0 && this.#options.isBelowRepeat(requestId),
      ...(tenant === undefined ? {} : { tenant }),
      ...commonRegions(route.allowedRegions, tenant?.allowedRegions),
      signal,
    };
  }

  #forwardedHeaders({ rawHeaders }: IncomingMessage, found: RouteMatch): HeaderList {
    const { hasTenants, tenant } = found;
    const headers = endToEndHeaders(rawHeaders, hasTenants ? identityHeaders : undefined);
    headers.push(HeaderNames.callingService, this.#options.service());
    if (tenant !== undefined) headers.push(HeaderNames.tenant, tenant.name);
    return headers;
  }
}

interface RouteMatch {
  readonly type: 'found';
  readonly route: Route;
  readonly service: string;
  readonly depth: number;
  readonly limits: CallerLimits;
  readonly tenant: Tenant | undefined;
  /** Whether the configuration has tenants, so that identity headers are not forwarded. */
  readonly hasTenants: boolean;
}

/** A request whose route is known. */
interface RoutableRequest {
  readonly request: IncomingMessage;
  readonly requestId: string;
  readonly found: RouteMatch;
  readonly arrivedAt: number;
  readonly signal: AbortSignal;
}

/** The regions that both lists allow; a list that is absent allows all. */
function commonRegions(
  first: readonly string[] | undefined,
  second: readonly string[] | undefined,
): Pick<CallerRequest, 'allowedRegions'> {
  const allowedRegions =
    first !== undefined && second !== undefined
      ? first.filter((region) => second.includes(region))
      : (first ?? second);
  return allowedRegions === undefined ? {} : { allowedRegions };
}

function failure(reason: FailureReason, detail: string): FailedOutcome {
  return { type: 'failed', reason, mayHaveRun: false, detail };
}

/** Describes what prevents the head of a request from being forwarded; `undefined` if nothing does. */
function describeMalformedHead({ rawHeaders, url = '' }: IncomingMessage): string | undefined {
  const malformedName = findMalformedName(rawHeaders);
  if (malformedName !== undefined) return `the header name "${malformedName}" is malformed`;
  return notForwardable.test(url) ? 'the path contains a control character' : undefined;
}

function singleHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function remainingMillisecondsOf(request: IncomingMessage): number {
  const value = Number(singleHeader(request, HeaderNames.remainingMilliseconds) ?? Number.NaN);
  if (!Number.isFinite(value) || value < 0) return defaultRemainingMilliseconds;
  return Math.min(value, maxRemainingMilliseconds);
}
