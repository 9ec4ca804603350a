import { discardBody } from '@hickorybridge/peer-protocol';
import { HeaderNames } from '@hickorybridge/platform';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { FailureReason, type CallerOutcome } from '../routing/CallerRequest.js';
import { resetConnection } from './resetConnection.js';

/** Statuses of failures whose request did not run; any other reason gets a 503. */
const notRunStatuses: Partial<Readonly<Record<FailureReason, number>>> = {
  [FailureReason.noRoute]: 404,
  [FailureReason.badRequest]: 400,
  [FailureReason.bodyTooLarge]: 413,
  [FailureReason.headersTooLarge]: 431,
};
/** Guarantees that the request has not run and will not run. */
const defaultNotRunStatus = 503;
/** With 504 and 502, the request may have run. */
const timeoutStatus = 504;
const lostStatus = 502;

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
  { body, head }: Extract<CallerOutcome, { type: 'answered' }>,
): void {
  if (body.type === 'whole') {
    const hasBody = request.method !== 'HEAD' && (body.data.length > 0 || !isBodiless(head.status));
    const isFramed = hasBody && head.endsWithConnection !== true;
    const length = isFramed ? ['content-length', String(body.data.length)] : [];
    response.writeHead(head.status, [...head.headers, ...length]);
    response.end(body.data);
    return;
  }
  response.writeHead(head.status, [...head.headers]);
  // An answer whose body stream failed must not look complete to the caller.
  if (body.stream.errored !== null) {
    abortAnswer(response);
    return;
  }
  body.stream.once('error', () => abortAnswer(response));
  response.once('close', () => discardBody(body));
  body.stream.pipe(response);
}

function isBodiless(status: number): boolean {
  return status === 204 || status === 304;
}

/** Resets the connection: after a normal close, an answer without a length would look complete. */
export function abortAnswer(response: ServerResponse): void {
  if (response.socket === null) response.destroy();
  else resetConnection(response.socket);
}
