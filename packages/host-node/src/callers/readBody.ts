import { StreamedBody, type RequestBody } from '@hickorybridge/peer-protocol';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';

import { ChunkCoalescer } from './ChunkCoalescer.js';

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
    const parts: Buffer[] = [];
    const coalescer = new ChunkCoalescer((part) => parts.push(part));
    let size = 0;
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      // Most bodies are a single chunk, which needs no copy.
      if (size === chunk.length) parts.push(chunk);
      else coalescer.add(chunk);
      if (size <= limits.maxBufferedBytes) return;
      request.off('data', onData);
      request.pause();
      coalescer.flush();
      resolve({ type: 'stream', source: limitedStream(request, limits, parts) });
    };
    request.on('data', onData);
    request.once('end', () => {
      coalescer.flush();
      resolve({ type: 'buffered', data: Buffer.concat(parts) });
    });
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
  const body = new StreamedBody(stream);
  let size = 0;
  let isFlushScheduled = false;
  const send = (data: Buffer) => {
    if (!stream.destroyed && !stream.write(data)) request.pause();
  };
  const coalescer = new ChunkCoalescer(send);
  const flush = () => {
    isFlushScheduled = false;
    coalescer.flush();
  };
  for (const chunk of first) {
    size += chunk.length;
    send(chunk);
  }
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > limits.maxBytes) stream.destroy(new Error('the body is larger than allowed'));
    coalescer.add(chunk);
    if (isFlushScheduled) return;
    isFlushScheduled = true;
    process.nextTick(flush);
  });
  stream.on('drain', () => request.resume());
  stream.once('close', () => {
    if (!request.complete) request.pause();
  });
  request.once('end', () => {
    flush();
    stream.end();
  });
  request.once('close', () => {
    if (!request.complete) stream.destroy(new Error('the caller broke off the body'));
  });
  if (!stream.writableNeedDrain) request.resume();
  return body;
}
