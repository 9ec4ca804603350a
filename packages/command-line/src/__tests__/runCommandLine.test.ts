import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, describe, it } from 'node:test';
import { kindRates } from '../kindRates.js';
import { parseMetrics } from '../parseMetrics.js';
import { FakeNode } from './FakeNode.js';
import { MemoryStore } from './MemoryStore.js';
import { runInMemory as run } from './runInMemory.js';

const root = path.resolve(import.meta.dirname, '../../../..');
const litoteca = path.join(root, 'examples/litoteca.toml');
const directory = mkdtempSync(path.join(tmpdir(), 'hickorybridge-'));
after(() => rmSync(directory, { recursive: true }));

const address = ['--store', 'http://127.0.0.1:1'];

describe('command line', () => {
  const wrong = [
    [['appl'], 'did you mean apply?'],
    [['validate'], 'FILE is missing: hickorybridge validate FILE'],
    [['validate', litoteca, 'more'], 'unexpected argument "more"'],
    [['apply', litoteca], 'add --store URL or set HICKORYBRIDGE_STORE'],
    [['apply', litoteca, '--stor', 'x'], 'did you mean --store?'],
    [['apply', litoteca, '--store'], '--store needs a value'],
    [['apply', litoteca, '--store', 'x'], '--store "x" is not an http:// or https:// URL'],
    [['apply', litoteca, ...address, '--expect', 'x'], 'must be a whole number from 0'],
    [['status', '--node', 'http://127.0.0.1:1', '--key-file', '/none'], 'cannot read the key file'],
  ] as const;
  for (const [words, message] of wrong) {
    it(`guards against an unclear error or a stack trace for: ${words.join(' ')}`, async () => {
      const { code, errors } = await run(new MemoryStore(), ...words);
      assert.equal(code, 2);
      assert.ok(errors.includes(message), errors);
      assert.doesNotMatch(errors, /\n\s+at /);
    });
  }

  it('guards against an invalid file reaching the store', async () => {
    const file = path.join(directory, 'invalid.toml');
    writeFileSync(file, 'name = "x"\nregion = 1\n');
    const store = new MemoryStore();
    const { code, errors, output } = await run(store, 'apply', file, ...address, '--json');
    assert.equal(code, 3);
    assert.equal(store.objects.size, 0);
    assert.match(errors, /invalid.toml:2: region = 1: unknown key; did you mean "regions"\?/);
    assert.equal((JSON.parse(output) as { reason: string }).reason, 'invalid');
  });

  it('guards against a refusal that hides whose change stands and what it changes', async () => {
    const store = new MemoryStore();
    assert.equal((await run(store, 'apply', litoteca, ...address)).code, 0);
    const file = path.join(directory, 'changed.toml');
    writeFileSync(file, readFileSync(litoteca, 'utf8').replace('weight = 5', 'weight = 6'));
    const { code, errors } = await run(store, 'apply', file, ...address, '--expect', '0');
    assert.equal(code, 3);
    assert.match(errors, /deployment number 1 stands, applied by test at 1970/);
    assert.match(errors, /~ services.laboratory.kinds.order-sample-cut.weight: 5 -> 6/);
  });

  it('guards against files of the operator being overwritten, and against invalid ones', async () => {
    const place = path.join(directory, 'new');
    const store = new MemoryStore();
    assert.equal((await run(store, 'init', '--directory', place)).code, 0);
    const deployment = path.join(place, 'deployment.toml');
    const settings = ['--settings', path.join(place, 'node.toml')];
    assert.equal((await run(store, 'validate', deployment, ...settings)).code, 0);
    assert.equal((await run(store, 'init', '--directory', place)).code, 3);
  });
});

describe('apply --wait', () => {
  it('guards against a confirmation from a wrong node, an old number or an empty domain', async () => {
    await using node = await FakeNode.start();
    const answerWith = (deploymentNumber: number) => {
      node.answers['GET /ready'] = { ready: true, nodeId: 'a', deploymentNumber };
    };
    answerWith(0);
    const store = new MemoryStore();
    const putRosters = (nodeIds: readonly string[]) =>
      ['montevideo-a', 'montevideo-b', 'minas-a', 'minas-b'].forEach((failureDomain) => {
        const operatorsAddress = node.address;
        const nodes = nodeIds.map((nodeId) => ({ nodeId, failureDomain, operatorsAddress }));
        const key = `rosters/${failureDomain}`;
        const value = JSON.stringify({ token: 1, writeId: 'w', content: { failureDomain, nodes } });
        store.put(key, value, store.objects.get(key)?.version ?? 0);
      });
    const apply = () => run(store, 'apply', litoteca, ...address, '--wait', '--wait-limit', '1');

    putRosters([]);
    assert.match((await apply()).errors, /minas-b: the rosters in the store name no node there/);
    putRosters(['a', 'b']);
    const old = await apply();
    assert.equal(old.code, 4);
    assert.match(old.errors, /a: number 0 is in effect there/);
    answerWith(1);
    const other = await apply();
    assert.equal(other.code, 4);
    assert.match(other.errors, /minas-b: 1 of 2 nodes confirmed/);
    assert.match(other.errors, /b: its operators' listener is on loopback of its own host \(a ans/);
    putRosters(['a']);
    assert.equal((await apply()).code, 0);
  });
});

describe('top', () => {
  it('guards against quantiles and rates over the whole life of the node', () => {
    const metrics = (count: number, fast: number) =>
      parseMetrics(
        `hickorybridge_requests_total{service="s",kind="k",outcome="answered"} ${count}
hickorybridge_request_duration_seconds_bucket{service="s",kind="k",le="0.01"} ${fast}
hickorybridge_request_duration_seconds_bucket{service="s",kind="k",le="0.1"} ${count}
hickorybridge_request_duration_seconds_bucket{service="s",kind="k",le="+Inf"} ${count}`,
      );
    const [rate] = kindRates(metrics(1_000, 1_000), metrics(1_100, 1_060), 10);
    assert.equal(rate?.requestsPerSecond, 10);
    assert.equal(rate.p50Milliseconds, 10);
    assert.equal(rate.p99Milliseconds, 100);
  });
});
