import { HeaderNames } from '@hickorybridge/platform';

/** Headers that concern one connection, and those that this system sets itself. */
const droppedHeaders: ReadonlySet<string> = new Set([
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

/** Gives the headers that are passed on, from a flat list of names and values. */
export function endToEndHeaders(rawHeaders: readonly string[]): string[] {
  const kept: string[] = [];
  const named = namedByConnection(rawHeaders);
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerCase = name.toLowerCase();
    if (!droppedHeaders.has(lowerCase) && !named.has(lowerCase)) {
      kept.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return kept;
}

/** A `Connection` header lists further headers that concern one connection only. */
function namedByConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
  const named = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
        named.add(name.trim().toLowerCase());
      }
    }
  }
  return named;
}
