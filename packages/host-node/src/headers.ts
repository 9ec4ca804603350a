import { HeaderNames } from '@hickorybridge/platform';

/** Hop-by-hop headers, and headers that the node sets itself. */
const excludedHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  HeaderNames.remainingMilliseconds,
  HeaderNames.expectedBackendServer,
  HeaderNames.callingService,
  HeaderNames.load,
]);

/** A field name is a token (RFC 9110, section 5.1). */
const fieldName = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;

/**
 * Returns the first malformed header name, or `undefined` if there is none. The HTTP parser of
 * Node.js accepts empty names and spaces in names, but its HTTP server and client refuse to send
 * them. Takes a flat list of names and values.
 */
export function findMalformedName(rawHeaders: readonly string[]): string | undefined {
  return rawHeaders.find((text, index) => index % 2 === 0 && !fieldName.test(text));
}

const noHeaders: ReadonlySet<string> = new Set();

/**
 * Returns the headers to forward, given and returned as a flat list of names and values.
 * `furtherExcluded` names headers that are left out, too, in lower case.
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  furtherExcluded: ReadonlySet<string> = noHeaders,
): string[] {
  const kept: string[] = [];
  const connectionOptions = connectionOptionsOf(rawHeaders);
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerCase = name.toLowerCase();
    const isExcluded = excludedHeaders.has(lowerCase) || furtherExcluded.has(lowerCase);
    if (!isExcluded && !connectionOptions.has(lowerCase)) {
      kept.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return kept;
}

/** Returns the names that `Connection` headers list; those headers are hop-by-hop, too. */
function connectionOptionsOf(rawHeaders: readonly string[]): ReadonlySet<string> {
  const connectionOptions = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
        connectionOptions.add(name.trim().toLowerCase());
      }
    }
  }
  return connectionOptions;
}
