import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

import { FailureReason } from '../routing/CallerRequest.js';
import { LimitedConnection } from './LimitedConnection.js';

interface HeadFailure {
  readonly status: number;
  readonly reason: FailureReason;
  readonly detail: string;
}

/** Error of Node.js for a head that has not arrived within `headersTimeout`. */
const headTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Failures that are answered with a status other than 400, by the error code of Node.js. */
const failuresByCode: Readonly<Record<string, HeadFailure>> = {
  HPE_HEADER_OVERFLOW: {
    status: 431,
    reason: FailureReason.headersTooLarge,
    detail: 'the headers are larger than allowed',
  },
  [headTimeoutCode]: {
    status: 408,
    reason: FailureReason.headersTimeout,
    detail: 'the head did not arrive in time',
  },
};
// Closing a connection with unread bytes resets it, which may discard the answer on its way.
const lingerMilliseconds = 250;

/**
 * Answers requests whose head the parser of Node.js rejects. Depending on its version, the parser
 * rejects heads that another version passes on, and it closes the connection without an answer.
 */
export class HeadErrorResponder {
  /** The last response of each connection, to which the refusal must not be written. */
  readonly #lastResponses = new WeakMap<Duplex, ServerResponse>();

  /** Connections with a rejected head. The parser reports each further read as an error, too. */
  readonly #rejected = new WeakSet<Duplex>();

  /** Registers the response to a request whose head was accepted. */
  recordResponse(response: ServerResponse): void {
    this.#lastResponses.set(response.req.socket, response);
  }

  /** Whether a head of the connection was rejected, so that no later request on it may run. */
  hasRejected(socket: Duplex): boolean {
    return this.#rejected.has(socket);
  }

  /** Answers once all earlier requests of the connection have their answers, and closes it. */
  reject(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (error.code === headTimeoutCode) this.#rejectUnlessArrived(error, socket);
    else this.#rejectNow(error, socket);
  }

  /**
   * Rejects a head once what has arrived on its connection was read. After a stall of the process,
   * the check of Node.js comes before that, and the head may be complete.
   */
  #rejectUnlessArrived(error: NodeJS.ErrnoException, socket: Duplex): void {
    const last = this.#lastResponses.get(socket);
    setImmediate(() => {
      if (this.#lastResponses.get(socket) === last) this.#rejectNow(error, socket);
    });
  }

  #rejectNow(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (this.#rejected.has(socket)) return;
    this.#rejected.add(socket);
    // The status promises that the request does not run, but its head may arrive after it.
    if (socket instanceof LimitedConnection) socket.discardInput();
    const last = this.#lastResponses.get(socket);
    if (!isHeadError(error) || (last !== undefined && !last.req.complete)) {
      socket.destroy();
    } else if (last === undefined || last.writableFinished) {
      sendFailure(socket, failureOf(error));
    } else {
      last.once('close', () => {
        if (last.writableFinished) sendFailure(socket, failureOf(error));
      });
    }
  }
}

/** Whether the head is at fault, and not the connection. */
function isHeadError({ code = '' }: NodeJS.ErrnoException): boolean {
  return code.startsWith('HPE_') || code in failuresByCode;
}

function failureOf({ code = '', message }: NodeJS.ErrnoException): HeadFailure {
  return (
    failuresByCode[code] ?? {
      status: 400,
      reason: FailureReason.badRequest,
      detail: `the head is malformed: ${message}`,
    }
  );
}

function sendFailure(socket: Duplex, { detail, reason, status }: HeadFailure): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const text = JSON.stringify({ reason, detail });
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(text)}`,
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${text}`);
  // A caller that keeps sending or does not read must not keep the connection open.
  const timer = setTimeout(() => socket.destroy(), lingerMilliseconds);
  socket.once('close', () => clearTimeout(timer));
}
