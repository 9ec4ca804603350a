import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { describe, it } from 'node:test';
import {
  checkNodePlace,
  deploymentWarnings,
  diffDeployments,
  formatChange,
  parseDeployment,
  parseNodeSettings,
} from '../index.js';

const examples = path.resolve(import.meta.dirname, '../../../../examples');
const text = readFileSync(path.join(examples, 'derwent.toml'), 'utf8');

function parse(changed: string) {
  const parsed = parseDeployment(changed, 'derwent.toml');
  return parsed.ok ? parsed.value : assert.fail(JSON.stringify(parsed.error));
}

describe('difference of deployments', () => {
  it('guards against changes that depend on the order of kinds, and against lost changes', () => {
    const blocks = text.split(/(?=\[\[services.kinds\]\])/);
    const [first = '', second = ''] = blocks.splice(1, 2);
    const reordered = [blocks[0], second.replace(/\[\[services\]\][^]*/, ''), first].join('');
    const rest = second.slice(second.indexOf('[[services]]')) + blocks.slice(1).join('');
    assert.deepEqual(diffDeployments(parse(text), parse(`${reordered}\n${rest}`)), []);
    const changed = text
      .replace('deadlineMilliseconds = 800', 'deadlineMilliseconds = 700')
      .replace('name = "read-phase"', 'name = "show-phase"');
    const lines = diffDeployments(parse(text), parse(changed)).map(formatChange);
    assert.equal(
      lines[0],
      '~ services.fleet-status.kinds.read-set-status.deadlineMilliseconds: 800 -> 700',
    );
    assert.match(lines[1] ?? '', /^- services\.phase-control\.kinds\.read-phase = \{/);
    assert.match(lines[2] ?? '', /^\+ services\.phase-control\.kinds\.show-phase = \{/);
    assert.equal(lines.length, 3);
  });
});

describe('checks over files', () => {
  it('guards against a node in a place that the deployment does not know', () => {
    const settings = readFileSync(path.join(examples, 'node.toml'), 'utf8');
    const place = (from: string, to: string) => {
      const parsed = parseNodeSettings(settings.replaceAll(from, to), 'node.toml');
      return parsed.ok ? checkNodePlace(parsed.value, parse(text), 'node.toml') : assert.fail();
    };
    assert.equal(place('"montevideo"', '"sout"')[0]?.expected, 'did you mean "south"?');
    const known = place('"montevideo"', '"south"')[0];
    assert.equal(known?.key, 'node.failureDomain');
    assert.match(known.expected, /use one of south-a, south-b/);
  });

  it('guards against silence about settings that are rarely meant', () => {
    assert.deepEqual(deploymentWarnings(parse(text)), []);
    const odd = text
      .replace('failureDomains = ["south-a", "south-b"]', 'failureDomains = ["south-a"]')
      .replace('failureDomains = ["north-a", "north-b"]', 'failureDomains = ["north-a"]')
      .replace('"adaptive"', '"random"')
      .replace('maxAttempts = 3', 'maxAttempts = 1');
    assert.equal(deploymentWarnings(parse(odd)).length, 3);
  });
});
