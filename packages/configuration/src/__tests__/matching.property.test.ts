import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { parseDeployment, RequestMatcher } from '../index.js';
import type { RequestKind } from '../index.js';

const segment = fc.constantFrom('a', 'b', ':p', ':q');
const pattern = fc
  .tuple(fc.array(segment, { maxLength: 4 }), fc.boolean())
  .map(([segments, rest]) => `/${[...segments, ...(rest ? ['*'] : [])].join('/')}`);
const target = fc
  .array(fc.constantFrom('a', 'b', 'c', ''), { maxLength: 5 })
  .map((segments) => `/${segments.join('/')}`);

/** Turns a pattern into a regular expression: the slow but plain way to match. */
function toExpression(path: string): RegExp {
  const body = path
    .split('/')
    .map((part) => {
      if (part === '*') return '.*';
      return part.startsWith(':') ? '[^/]+' : part;
    })
    .join('/');
  return new RegExp(`^${body}$`);
}

/** Gives for each segment how general it is: a literal before a parameter before `*`. */
function generality(path: string): string {
  return path.replaceAll(/:\w/g, '1').replaceAll(/[ab]/g, '0').replaceAll('*', '2');
}

describe('request matcher, any patterns', () => {
  it('guards against a request that matches another kind than the most specific one', () => {
    const patterns = fc.uniqueArray(pattern, {
      minLength: 1,
      maxLength: 8,
      selector: (path) => path.replaceAll(/:\w/g, ':'),
    });
    fc.assert(
      fc.property(patterns, fc.array(target, { maxLength: 20 }), (paths, targets) => {
        const kinds = paths.map(
          (path, index) => `[[services.kinds]]
name = "k${index}"
method = "GET"
path = "${path}"
idempotent = true
deadlineMilliseconds = 10`,
        );
        const parsed = parseDeployment(
          `name = "x"
[[regions]]
name = "r"
failureDomains = ["d"]
[[services]]
name = "s"
hosts = ["h"]
${kinds.join('\n')}`,
          'file.toml',
        );
        const deployment = parsed.ok ? parsed.value : assert.fail(JSON.stringify(parsed.error));
        const matcher = new RequestMatcher(deployment);
        for (const text of targets) {
          const match = matcher.match('h', 'GET', `${text}?q=/a`);
          const expected = mostSpecific(deployment.services[0]?.kinds ?? [], text);
          assert.equal(match.type === 'matched' ? match.kind.path : undefined, expected, text);
        }
      }),
      { seed: 20_261_204, numRuns: 300 },
    );
  });
});

function mostSpecific(kinds: readonly RequestKind[], text: string): string | undefined {
  return kinds
    .map((kind) => kind.path)
    .filter((path) => toExpression(path).test(text))
    .sort((first, second) => (generality(first) < generality(second) ? -1 : 1))[0];
}
