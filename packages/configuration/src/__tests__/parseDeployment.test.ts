import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { describe, it } from 'node:test';
import { formatProblem, parseDeployment, parseNodeSettings } from '../index.js';

const examples = path.resolve(import.meta.dirname, '../../../../examples');
const litoteca = readFileSync(path.join(examples, 'litoteca.toml'), 'utf8');
const nodeSettings = readFileSync(path.join(examples, 'node.toml'), 'utf8');

function problemsOf(text: string): string[] {
  const parsed = parseDeployment(text, 'file.toml');
  assert.equal(parsed.ok, false, 'the faulty file was accepted');
  return parsed.ok ? [] : parsed.error.map(formatProblem);
}

describe('deployment file', () => {
  it('guards against examples that are not valid', () => {
    for (const name of ['litoteca.toml', 'derwent.toml']) {
      const parsed = parseDeployment(readFileSync(path.join(examples, name), 'utf8'), name);
      assert.equal(parsed.ok, true, name);
    }
  });

  const faults = [
    {
      guard: 'a misspelled key without the nearest name',
      edit: ['weight = 5', 'wieght = 5'],
      line: 'file.toml:61: services[1].kinds[2].wieght = 5: unknown key; did you mean "weight"?',
    },
    {
      guard: 'a wrong type without line and value',
      edit: ['deadlineMilliseconds = 5000', 'deadlineMilliseconds = "5s"'],
      line: 'file.toml:60: services[1].kinds[2].deadlineMilliseconds = "5s": the value is not valid; use a whole number from 1 to 600000',
    },
    {
      guard: 'a deadline out of range',
      edit: ['deadlineMilliseconds = 5000', 'deadlineMilliseconds = 0'],
      line: 'file.toml:60: services[1].kinds[2].deadlineMilliseconds = 0: the value is out of range; use a whole number from 1 to 600000',
    },
    {
      guard: 'a host name of two services',
      edit: ['"custody.litoteca', '"catalogue.litoteca'],
      line: 'file.toml:65: services[2].hosts[0] = "catalogue.litoteca.example": the host name is already used by services[0].hosts[0]; use each host name once',
    },
    {
      guard: 'a kind that can never match',
      edit: ['path = "/cut-orders"', 'path = "/bookings"'],
      line: 'file.toml:58: services[1].kinds[2].path = "/bookings": the kind never matches, because services[1].kinds[0] has the same method and the same pattern; use another method or path, or remove one of the two kinds',
    },
    {
      guard: 'a safe method that is declared as not idempotent',
      edit: ['method = "POST"\npath = "/cut-orders"', 'method = "GET"\npath = "/cut-orders"'],
      line: 'file.toml:59: services[1].kinds[2].idempotent = false: a request with method GET is safe by definition (RFC 9110) and may be repeated by any HTTP client; set idempotent = true, or use POST for a request that must not run twice',
    },
    {
      guard: 'a link budget that the region budget cannot hold',
      edit: ['linkBytesPerSecond = 4000', 'linkBytesPerSecond = 40000'],
      line: 'file.toml:94: measuring.linkBytesPerSecond = 40000: the budget of the link is greater than that of a region (32000); use at most the value of measuring.regionBytesPerSecond, which counts the link as well',
    },
    {
      guard: 'TOML errors without a line',
      edit: ['name = "litoteca"', 'name = litoteca'],
      line: 'file.toml:3: the file is not valid TOML at column 8: invalid value in "name = litoteca"; correct this line as TOML 1.0 requires',
    },
  ] as const;
  for (const fault of faults) {
    it(`guards against ${fault.guard}`, () => {
      const text = litoteca.replace(fault.edit[0], fault.edit[1]);
      assert.ok(problemsOf(text).includes(fault.line), problemsOf(text).join('\n'));
    });
  }
});

describe('node settings', () => {
  it('guards against open listeners without a shared key', () => {
    const text = nodeSettings.replace('127.0.0.1:8083', '10.0.0.7:8083');
    const parsed = parseNodeSettings(text, 'node.toml');
    assert.equal(parsed.ok, false);
    assert.equal(!parsed.ok && parsed.error[0]?.key, 'listeners.peers');
    const withKey = text.replace('[peers]', '[peers]\nsharedKey = "0123456789abcdef"');
    assert.equal(parseNodeSettings(withKey, 'node.toml').ok, true);
  });

  it('guards against addresses that are host names', () => {
    const text = nodeSettings.replace('127.0.0.1:8080', 'localhost:8080');
    assert.equal(parseNodeSettings(text, 'node.toml').ok, false);
  });
});
