import { discardBody, type AnswerBody } from '@hickorybridge/peer-protocol';
import { Outcome, ProblemName, type AnswerHead } from '@hickorybridge/types';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';

import { HeaderName } from '../headerNames.js';
import type { RoutedFailure, RoutedOutcome } from '../routing/RoutedRequest.js';
import { createProblem } from './problem.js';

/** One request of a caller and the reply to it. */
export class CallerExchange {
  readonly incoming: IncomingMessage;

  readonly requestId: string;

  readonly #outgoing: ServerResponse;

  readonly #closeConnection: () => boolean;

  readonly #gone = new AbortController();

  constructor(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    requestId: string,
    closeConnection: () => boolean,
  ) {
    this.incoming = incoming;
    this.requestId = requestId;
    this.#outgoing = outgoing;
    this.#closeConnection = closeConnection;
    outgoing.once('close', () => {
      if (!outgoing.writableFinished) this.#gone.abort();
    });
  }

  /** Aborts when the caller closes its connection before the reply is complete. */
  get gone(): AbortSignal {
    return this.#gone.signal;
  }

  /** Ends the work on the request before its outcome is known. */
  cancel(): void {
    this.#gone.abort();
  }

  /** Sends the reply. Resolves when it is complete or the connection is broken. */
  async reply(outcome: RoutedOutcome): Promise<void> {
    if (outcome.type === 'failed') this.#sendProblem(outcome);
    else await this.#sendAnswer(outcome.head, outcome.body, outcome.replayed);
    this.#discardRequestBody();
  }

  #sendProblem({ problem, outcome, detail }: RoutedFailure): void {
    const body = createProblem(problem, detail);
    const text = Buffer.from(JSON.stringify({ ...body, instance: this.requestId }));
    const headers = ['content-type', 'application/problem+json'];
    headers.push('content-length', String(text.length), ...this.#ownHeaders(outcome));
    if (problem === ProblemName.overloaded) headers.push('retry-after', '1');
    this.#outgoing.writeHead(body.status, headers).end(text);
  }

  async #sendAnswer(head: AnswerHead, body: AnswerBody, replayed: boolean): Promise<void> {
    const headers = [...head.headers, ...this.#ownHeaders(Outcome.answered)];
    if (replayed) headers.push(HeaderName.replayed, 'true');
    try {
      this.#outgoing.writeHead(head.status, headers);
    } catch (error) {
      discardBody(body);
      const detail = `the answer of the backend server cannot be passed on: ${String(error)}`;
      this.#sendProblem({
        type: 'failed',
        problem: ProblemName.connectionLost,
        outcome: Outcome.unknown,
        detail,
      });
      return;
    }
    // A body that breaks off destroys the connection, so that the caller never takes it as complete.
    if (body.type === 'whole') this.#outgoing.end(body.data);
    else await pipeline(body.stream, this.#outgoing).catch(() => {});
  }

  #ownHeaders(outcome: Outcome): string[] {
    const headers = [HeaderName.outcome, outcome, HeaderName.requestId, this.requestId];
    if (this.#mustClose()) headers.push('connection', 'close');
    return headers;
  }

  /** A body that was not read to its end would be taken for the next request. */
  #mustClose(): boolean {
    return this.#closeConnection() || this.#hasUnreadBody();
  }

  #hasUnreadBody(): boolean {
    const { headers } = this.incoming;
    const hasBody =
      headers['transfer-encoding'] !== undefined ||
      (headers['content-length'] !== undefined && headers['content-length'] !== '0');
    return hasBody && !this.incoming.readableEnded;
  }

  #discardRequestBody(): void {
    if (this.#hasUnreadBody()) this.incoming.resume();
  }
}
