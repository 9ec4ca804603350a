import { discardBody } from '@hickorybridge/peer-protocol';
import { HeaderNames } from '@hickorybridge/platform';
import { isBodilessStatus, isFinalStatus } from '@hickorybridge/types';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { FailureReason, type CallerOutcome } from '../routing/CallerRequest.js';
import { resetConnection } from './resetConnection.js';

/** Statuses of failures whose request did not run; any other reason gets a 503. */
const notRunStatuses: Partial<Readonly<Record<FailureReason, number>>> = {
  [FailureReason.noRoute]: 404,
  [FailureReason.badRequest]: 400,
  [FailureReason.unauthorized]: 401,
  [FailureReason.overQuota]: 429,
  [FailureReason.bodyTooLarge]: 413,
  [FailureReason.headersTooLarge]: 431,
};
/** Guarantees that the request has not run and will not run. */
const defaultNotRunStatus = 503;
/** With 504 and 502, the request may have run. */
const timeoutStatus = 504;
const lostStatus = 502;
/** 204 must not have a length (RFC 9110, section 8.6). */
const noContentStatus = 204;

/**
 * Sends the outcome of a request to its caller. Returns the outcome that was sent: a failure if the
 * head of the answer cannot be sent as HTTP.
 */
export function sendOutcome(
  request: IncomingMessage,
  response: ServerResponse,
  outcome: CallerOutcome,
): CallerOutcome {
  if (response.destroyed || response.writableEnded) {
    if (outcome.type === 'answered') discardBody(outcome.body);
    return outcome;
  }
  // While the request body is unread, the connection cannot be reused for another request.
  if (!request.complete) response.shouldKeepAlive = false;
  if (outcome.type === 'failed') {
    sendFailure(response, outcome);
    return outcome;
  }
  try {
    sendAnswer(request, response, outcome);
    return outcome;
  } catch (error) {
    // A node of an older version passes on malformed headers.
    discardBody(outcome.body);
    const failure = notSendable(error);
    sendFailure(response, failure);
    return failure;
  }
}

type AnsweredOutcome = Extract<CallerOutcome, { type: 'answered' }>;
type FailedOutcome = Extract<CallerOutcome, { type: 'failed' }>;

function notSendable(error: unknown): FailedOutcome {
  return {
    type: 'failed',
    reason: FailureReason.connectionLost,
    mayHaveRun: true,
    detail: `the answer of the backend server cannot be sent: ${String(error)}`,
  };
}

function sendFailure(response: ServerResponse, outcome: FailedOutcome): void {
  const { detail, reason, returnMilliseconds } = outcome;
  const text = JSON.stringify({ reason, detail });
  const headers: string[] = ['content-type', 'application/json'];
  headers.push('content-length', String(Buffer.byteLength(text)));
  if (returnMilliseconds !== undefined) {
    headers.push(HeaderNames.retryAfter, (returnMilliseconds / 1000).toFixed(3));
  }
  response.writeHead(statusOf(outcome), headers);
  response.end(text);
}

function statusOf({ mayHaveRun, reason }: FailedOutcome): number {
  if (!mayHaveRun) return notRunStatuses[reason] ?? defaultNotRunStatus;
  return reason === FailureReason.timeout ? timeoutStatus : lostStatus;
}

/**
 * Sends an answer. One without a length goes out in chunks, or to an HTTP/1.0 caller up to the end of
 * the connection, which Node.js chooses by the version of the request.
 */
function sendAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  answer: AnsweredOutcome,
): void {
  const { body, head } = answer;
  // Node.js would send any status from 100 to 999.
  if (!isFinalStatus(head.status)) throw new TypeError(`status ${head.status} is not final`);
  const isBodiless = request.method === 'HEAD' || isBodilessStatus(head.status);
  const length = lengthOf(answer, isBodiless);
  const lengthHeader = length === undefined ? [] : ['content-length', String(length)];
  response.writeHead(head.status, [...head.headers, ...lengthHeader]);
  if (body.type === 'whole') {
    response.end(isBodiless ? undefined : body.data);
    return;
  }
  // An answer whose body stream failed must not look complete to the caller.
  if (body.stream.errored !== null) {
    abortAnswer(response);
    return;
  }
  body.stream.once('error', () => abortAnswer(response));
  response.once('close', () => discardBody(body));
  body.stream.pipe(response);
}

/** Length to declare to the caller; `undefined` if none is known, or none is allowed. */
function lengthOf({ body, head }: AnsweredOutcome, isBodiless: boolean): number | undefined {
  if (head.status === noContentStatus) return undefined;
  if (isBodiless || body.type === 'stream') return head.contentLength;
  return head.endsWithConnection === true ? undefined : body.data.length;
}

/** Resets the connection: after a normal close, an answer without a length would look complete. */
export function abortAnswer(response: ServerResponse): void {
  if (response.socket === null) response.destroy();
  else resetConnection(response.socket);
}
