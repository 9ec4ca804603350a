import { StreamedBody, type RequestBody } from '@hickorybridge/peer-protocol';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';

export interface BodyLimits {
  readonly maxBytes: number;
  /** Bodies up to this size are buffered, so that they can be sent again. */
  readonly maxBufferedBytes: number;
}

/** Reads the body of a request into memory if it is small, otherwise returns it as a stream. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<RequestBody | 'too-large' | 'broken'> {
  const declared = request.headers['content-length'];
  const chunked = request.headers['transfer-encoding'] !== undefined;
  if (!chunked && (declared === undefined || declared === '0')) {
    return declared === undefined ? { type: 'none' } : { type: 'buffered', data: Buffer.alloc(0) };
  }
  const length = Number(declared ?? 0);
  if (length > limits.maxBytes) return 'too-large';
  if (length > limits.maxBufferedBytes)
    return { type: 'stream', source: limitedStream(request, limits) };
  return bufferSmallBody(request, limits);
}

function bufferSmallBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<RequestBody | 'too-large' | 'broken'> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size <= limits.maxBufferedBytes) return;
      request.off('data', onData);
      request.pause();
      resolve({ type: 'stream', source: limitedStream(request, limits, chunks) });
    };
    request.on('data', onData);
    request.once('end', () => resolve({ type: 'buffered', data: Buffer.concat(chunks) }));
    request.once('close', () => resolve('broken'));
    request.once('error', () => resolve('broken'));
  });
}

/** Streams a body and fails the stream when the body exceeds the limit or is incomplete. */
function limitedStream(
  request: IncomingMessage,
  limits: BodyLimits,
  first: readonly Buffer[] = [],
): StreamedBody {
  const stream = new PassThrough();
  let size = 0;
  for (const chunk of first) {
    size += chunk.length;
    stream.write(chunk);
  }
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > limits.maxBytes) stream.destroy(new Error('the body is larger than allowed'));
  });
  request.once('close', () => {
    if (!request.complete) stream.destroy(new Error('the caller broke off the body'));
  });
  request.pipe(stream);
  return new StreamedBody(stream);
}
