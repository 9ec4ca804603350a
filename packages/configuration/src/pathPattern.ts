const parameterPattern = /^:[A-Za-z][A-Za-z0-9]*$/;
const literalPattern = /^[A-Za-z0-9._~!$&'()+,;=@%-]*$/;

/** Tells whether a text is a path pattern: `/boxes/:boxId`, with `*` only as the last segment. */
export function isPathPattern(pattern: string): boolean {
  if (!pattern.startsWith('/')) return false;
  const segments = pattern.slice(1).split('/');
  return segments.every(
    (segment, index) =>
      parameterPattern.test(segment) ||
      (segment === '*' && index === segments.length - 1) ||
      (literalPattern.test(segment) && (segment !== '' || index === segments.length - 1)),
  );
}

/** Gives the pattern without the names of its parameters; equal shapes match equal paths. */
export function patternShape(pattern: string): string {
  return pattern.replaceAll(/:[A-Za-z][A-Za-z0-9]*/g, ':');
}
