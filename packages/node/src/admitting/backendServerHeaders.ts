import type { HeaderList, RequestHead } from '@hickorybridge/types';

import { HeaderName } from '../headerNames.js';

/** Headers that concern one connection only and are never passed on (RFC 9110, section 7.6.1). */
const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Headers that the node sets itself on the way to a backend server. */
const ownHeaders: ReadonlySet<string> = new Set([
  HeaderName.requestId,
  HeaderName.timeout,
  HeaderName.deadline,
  HeaderName.depth,
  HeaderName.attempts,
  HeaderName.traceparent,
]);

/** Copies the headers that may be passed on, without those that `Connection` names. */
export function withoutConnectionHeaders(headers: HeaderList): string[] {
  const named = namedByConnection(headers);
  const passed: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = (headers[index] as string).toLowerCase();
    if (connectionHeaders.has(name) || named?.has(name) === true) continue;
    passed.push(headers[index] as string, headers[index + 1] as string);
  }
  return passed;
}

/** Makes the headers of a request to a backend server. */
export function createBackendServerHeaders(head: RequestHead, remaining: number): string[] {
  const passed: string[] = [];
  for (let index = 0; index + 1 < head.headers.length; index += 2) {
    const name = head.headers[index] as string;
    if (!ownHeaders.has(name.toLowerCase())) passed.push(name, head.headers[index + 1] as string);
  }
  passed.push(HeaderName.requestId, head.requestId);
  passed.push(HeaderName.deadline, String(Math.max(0, Math.floor(remaining))));
  passed.push(HeaderName.depth, String(head.depth + 1));
  passed.push(HeaderName.attempts, String(head.attempts));
  if (head.traceparent !== undefined) passed.push(HeaderName.traceparent, head.traceparent);
  return passed;
}

function namedByConnection(headers: HeaderList): Set<string> | undefined {
  let named: Set<string> | undefined;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() !== 'connection') continue;
    named ??= new Set();
    for (const name of (headers[index + 1] as string).split(',')) {
      named.add(name.trim().toLowerCase());
    }
  }
  return named;
}
