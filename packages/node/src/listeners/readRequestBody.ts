import { StreamedBody, type RequestBody } from '@hickorybridge/peer-protocol';
import { fail, succeed, type Result } from '@hickorybridge/types';
import type { IncomingMessage } from 'node:http';
import { buffer } from 'node:stream/consumers';

/** Bodies up to this size are read before routing, so that a retry can send them again. */
export const maxBufferedBodyBytes = 64 * 1024;

/** The caller's connection ended before its body was complete. */
export interface IncompleteBody {
  readonly type: 'incomplete-body';
}

/** Takes the body of a caller's request: small ones whole, large or chunked ones as a stream. */
export async function readRequestBody(
  incoming: IncomingMessage,
): Promise<Result<RequestBody, IncompleteBody>> {
  const length = incoming.headers['content-length'];
  const chunked = incoming.headers['transfer-encoding'] !== undefined;
  if (chunked) return succeed({ type: 'stream', source: new StreamedBody(incoming) });
  if (length === undefined || length === '0') return succeed({ type: 'none' });
  if (Number(length) > maxBufferedBodyBytes) {
    return succeed({ type: 'stream', source: new StreamedBody(incoming) });
  }
  try {
    return succeed({ type: 'buffered', data: await buffer(incoming) });
  } catch {
    return fail({ type: 'incomplete-body' });
  }
}
