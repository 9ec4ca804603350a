import type { Deployment, RequestMatcher } from '@hickorybridge/configuration';
import type { RequestBody } from '@hickorybridge/peer-protocol';
import { Outcome, ProblemName, fail, succeed, type Result } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import type { IncomingMessage } from 'node:http';

import { withoutConnectionHeaders } from '../admitting/backendServerHeaders.js';
import { HeaderName } from '../headerNames.js';
import type { UnobservedRequest } from '../routing/ObservedRouting.js';
import { failed, type RoutedFailure } from '../routing/RoutedRequest.js';
import { RequestHeaders } from './requestHeaders.js';

const maxDepth = 32;
const maxIdempotencyKeyLength = 255;

/** The configuration in effect, ready for use on the request path. */
export interface EffectiveDeployment {
  readonly number: number;
  readonly deployment: Deployment;
  readonly matcher: RequestMatcher;
}

/** What `parseCallerRequest` needs besides the request. */
export interface CallerRequestContext {
  readonly effective: EffectiveDeployment;
  readonly requestId: string;
  readonly signal: AbortSignal;
  readonly clock: Clock;
}

/** A request without its body, which is read only once the rest is in order. */
export type RequestWithoutBody = Omit<UnobservedRequest, 'body'>;

/** Adds the body to a request. */
export function withBody(request: RequestWithoutBody, body: RequestBody): UnobservedRequest {
  return { ...request, body };
}

/** Matches a caller's request with the deployment and checks the headers for the system. */
export function parseCallerRequest(
  incoming: IncomingMessage,
  context: CallerRequestContext,
): Result<RequestWithoutBody, RoutedFailure> {
  const { effective, requestId, signal, clock } = context;
  const method = incoming.method ?? 'GET';
  const target = incoming.url ?? '/';
  const host = incoming.headers.host ?? '';
  const matched = effective.matcher.match(host, method, target);
  if (matched.type === 'no-such-service') {
    return refuse(ProblemName.noSuchService, `no service has the host name "${host}"`);
  }
  const { service } = matched;
  if (matched.type === 'no-such-kind') {
    const detail = `service "${service.name}" has no kind for ${method} ${target}`;
    return refuse(ProblemName.noSuchKind, detail);
  }
  const { kind } = matched;
  const headers = new RequestHeaders(incoming.rawHeaders);
  const timeout = headers.wholeNumber(HeaderName.timeout);
  const remaining = headers.wholeNumber(HeaderName.deadline);
  const depth = headers.wholeNumber(HeaderName.depth) ?? 0;
  const attempts = headers.wholeNumber(HeaderName.attempts) ?? Number.MAX_SAFE_INTEGER;
  for (const [name, value] of Object.entries({ timeout, remaining, depth, attempts })) {
    if (value === 'invalid') return refuseHeader(name as keyof typeof headerOf);
  }
  if ((depth as number) > maxDepth) {
    return refuse(ProblemName.tooDeep, `depth ${depth} exceeds ${maxDepth}`);
  }
  const idempotencyKey = headers.first(HeaderName.idempotencyKey);
  if (idempotencyKey !== undefined && !isValidKey(idempotencyKey)) {
    const detail = `Idempotency-Key must have 1 to ${maxIdempotencyKeyLength} characters`;
    return refuse(ProblemName.badRequest, detail);
  }
  const limits = [kind.deadlineMilliseconds, timeout, remaining] as (number | undefined)[];
  const allowed = Math.min(...limits.filter((limit) => limit !== undefined));
  return succeed({
    requestId,
    service,
    kind,
    method,
    target,
    headers: withoutConnectionHeaders(incoming.rawHeaders),
    deadline: clock.now() + allowed,
    depth: depth as number,
    attempts: Math.max(1, attempts as number),
    idempotencyKey: kind.idempotent ? undefined : idempotencyKey,
    traceparent: headers.first(HeaderName.traceparent),
    signal,
  });
}

const headerOf = {
  timeout: 'Hickorybridge-Timeout',
  remaining: 'Hickorybridge-Deadline-Ms',
  depth: 'Hickorybridge-Depth',
  attempts: 'Hickorybridge-Attempts',
} as const;

function refuseHeader(name: keyof typeof headerOf): Result<never, RoutedFailure> {
  return refuse(ProblemName.badRequest, `${headerOf[name]} must be a whole number`);
}

function refuse(problem: ProblemName, detail: string): Result<never, RoutedFailure> {
  return fail(failed(problem, Outcome.notRun, detail));
}

function isValidKey(key: string): boolean {
  return key.length > 0 && key.length <= maxIdempotencyKeyLength;
}
