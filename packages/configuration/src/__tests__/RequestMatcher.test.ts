import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { parseDeployment, RequestMatcher } from '../index.js';

const kinds = [
  ['list', '/boxes'],
  ['read', '/boxes/:boxId'],
  ['newest', '/boxes/newest'],
  ['label', '/boxes/:boxId/label'],
  ['rest', '/boxes/*'],
  ['root', '/'],
] as const;

const text = `
name = "test"
[[regions]]
name = "east"
failureDomains = ["east-a"]
[[services]]
name = "catalogue"
hosts = ["catalogue.example"]
${kinds.map(([name, path]) => `[[services.kinds]]\nname = "${name}"\nmethod = "GET"\npath = "${path}"\nidempotent = true\ndeadlineMilliseconds = 100`).join('\n')}
`;

describe('request matcher', () => {
  const parsed = parseDeployment(text, 'test.toml');
  assert.ok(parsed.ok);
  const matcher = new RequestMatcher(parsed.value);
  const kindOf = (target: string, host = 'catalogue.example', method = 'GET') => {
    const match = matcher.match(host, method, target);
    return match.type === 'matched' ? match.kind.name : match.type;
  };

  it('guards against a general pattern winning over a more specific one', () => {
    assert.equal(kindOf('/boxes'), 'list');
    assert.equal(kindOf('/boxes?limit=/3'), 'list');
    assert.equal(kindOf('/boxes/17'), 'read');
    assert.equal(kindOf('/boxes/newest'), 'newest');
    assert.equal(kindOf('/boxes/newest/label'), 'label');
    assert.equal(kindOf('/boxes/17/photo/2'), 'rest');
    assert.equal(kindOf('/boxes/'), 'rest');
    assert.equal(kindOf('/'), 'root');
  });

  it('guards against matching a request that no kind describes', () => {
    assert.equal(kindOf('/boxe'), 'no-such-kind');
    assert.equal(kindOf('boxes'), 'no-such-kind');
    assert.equal(kindOf('/boxes', 'catalogue.example', 'POST'), 'no-such-kind');
    assert.equal(kindOf('/boxes', 'other.example'), 'no-such-service');
  });

  it('guards against host names with port, final dot or capitals going astray', () => {
    assert.equal(kindOf('/boxes', 'Catalogue.example.:8080'), 'list');
  });
});
