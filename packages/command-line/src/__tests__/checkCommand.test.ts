import { decodeRouteConfiguration } from '@hickorybridge/platform';
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, it, type TestContext } from 'node:test';

import { MemoryStore } from './MemoryStore.js';
import { runInMemory } from './runInMemory.js';

const columns = ['name', 'host', 'path_prefix', 'timeout', 'target_latency', 'service'];
const orders = ['orders', 'a.example', '/orders/', '1s', '500ms', 'desk'];
const reads = ['reads', 'a.example', '/', '1s', '500ms', 'desk'];

type Document = Readonly<Record<string, unknown>>;

function createDocument(fields: Document = {}, rows: readonly unknown[] = [orders, reads]) {
  return {
    version: 7,
    routes: { columns, rows },
    services: { columns: ['name', 'max_conns'], rows: [['desk', 10]] },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1000,
      header_timeout: '3s',
      idle_timeout: '15s',
    },
    ...fields,
  };
}

const tenantsWith = (...rows: readonly unknown[]) => ({
  columns: ['name', 'api_keys', 'rate_per_s', 'burst', 'allowed_regions'],
  rows,
});

interface Result {
  readonly result: string;
  readonly findings: readonly { kind: string; line: number; key: string; detail: string }[];
  readonly differences?: readonly string[];
}

async function check(t: TestContext, text: string, against?: string) {
  const directory = mkdtempSync(path.join(tmpdir(), 'check-'));
  t.after(() => rmSync(directory, { recursive: true }));
  const file = path.join(directory, 'main.json');
  const againstFile = path.join(directory, 'in-force.json');
  writeFileSync(file, text);
  if (against !== undefined) writeFileSync(againstFile, against);
  const words = against === undefined ? [] : ['--against', againstFile];
  const { code, output } = await runInMemory(new MemoryStore(), 'check', file, '--json', ...words);
  return { code, output, ...(JSON.parse(output) as Result) };
}

const encode = (document: unknown) => JSON.stringify(document, null, 2);

describe('check', () => {
  it('guards against findings in a sound configuration', async (t) => {
    const tenants = tenantsWith(['a', ['k1', 'k2'], 5, 10, null], ['b', ['k3'], 0, 0, ['r']]);
    for (const fields of [{}, { tenants }]) {
      const { code, findings } = await check(t, encode(createDocument(fields)));
      assert.deepEqual(findings, []);
      assert.equal(code, 0);
    }
  });

  it('guards against a configuration that passes and that nodes refuse', async (t) => {
    const texts = [
      '{',
      'null',
      encode(createDocument({ version: undefined })),
      encode(createDocument({ limits: { max_header_bytes: 1 } })),
      encode(createDocument({}, [[...orders.slice(0, 3), 1500]])),
      encode(createDocument({ services: { columns: ['name'], rows: [[1]] } })),
      encode(createDocument({ tenants: tenantsWith(['a', 'k']) })),
    ];
    for (const text of texts) {
      assert.equal(decodeRouteConfiguration(text).ok, false);
      const { code, findings } = await check(t, text);
      assert.equal(code, 1);
      assert.deepEqual(
        findings.map(({ kind }) => kind),
        ['error'],
      );
    }
  });

  it('guards against an error without its line and key', async (t) => {
    const text = encode(
      createDocument({ version: 8 }, [orders, ['reads', 'a.example', '/', 7, null, 'desk']]),
    );
    const { findings } = await check(t, text);
    assert.equal(findings[0]?.key, 'routes.rows[1].timeout');
    const value = text.split('\n').findIndex((line) => line.trim() === '7,');
    assert.ok(value > 10);
    assert.equal(findings[0]?.line, value + 1);
    const broken = text.replace('"a.example"', 'a.example');
    const line = broken.split('\n').findIndex((part) => part.includes(' a.example')) + 1;
    assert.equal((await check(t, broken)).findings[0]?.line, line);
  });

  it('guards against an API key in the output', async (t) => {
    const key = 'secret-0123456789';
    const tenants = tenantsWith(['a', [key], 5, 1, null], ['b', ['k', key], 5, 1, null]);
    const text = encode(createDocument({ tenants }));
    const shared = await check(t, text, encode(createDocument({ version: 6 })));
    assert.deepEqual(
      shared.findings.map((finding) => [finding.kind, finding.key]),
      [['shared-key', 'tenants.rows[1].api_keys']],
    );
    const broken = await check(t, text.replace(`"${key}"`, `"${key}" x`));
    const excerpt = await check(t, `["${key}"; "${key}"${' '.repeat(100)}]`);
    for (const { code, output } of [shared, broken, excerpt]) {
      assert.equal(code, 1);
      assert.doesNotMatch(output, /secret|0123|6789/);
    }
  });

  const routeWith = (prefix: string, target: string, service: string) => ({
    rows: [['x', 'a.example', prefix, '1s', target, service]],
  });
  const cases: readonly (readonly [string, Document, string])[] = [
    ['a route that an earlier one hides', { rows: [orders, orders] }, 'never-matches'],
    [
      'a service that stands twice',
      { services: { columns: ['name'], rows: [['desk'], ['desk']] } },
      'never-matches',
    ],
    ['a prefix that no path has', routeWith('x/', '1s', 'desk'), 'never-matches'],
    ['a prefix with a query', routeWith('/x?y', '1s', 'desk'), 'never-matches'],
    ['a target beyond the timeout', routeWith('/', '2s', 'desk'), 'contradiction'],
    ['a service that does not exist', routeWith('/', '1s', 'none'), 'no-backend-servers'],
    ['a burst without a rate', { tenants: tenantsWith(['a', ['k'], 0, 5]) }, 'contradiction'],
    ['a rate that is ignored', { tenants: tenantsWith(['a', ['k'], '5', 0]) }, 'ignored-value'],
    ['ignored regions', { tenants: tenantsWith(['a', ['k'], 5, 0, 'r']) }, 'ignored-value'],
  ];
  for (const [name, { rows, ...fields }, kind] of cases) {
    it(`guards against ${name}, which passes`, async (t) => {
      const document = createDocument(fields, rows as readonly unknown[] | undefined);
      const { code, findings } = await check(t, encode(document));
      assert.equal(code, 1);
      assert.deepEqual([...new Set(findings.map((finding) => finding.kind))], [kind]);
    });
  }

  it('guards against regions of a tenant and a route that exclude each other', async (t) => {
    const routes = { columns: [...columns, 'allowed_regions'], rows: [[...reads, ['q']]] };
    const tenants = tenantsWith(['a', ['k'], 5, 0, ['r']], ['b', ['l'], 5, 0, ['q']]);
    const { findings } = await check(t, encode(createDocument({ routes, tenants })));
    assert.deepEqual(
      findings.map(({ key }) => key),
      ['tenants.rows[0].allowed_regions'],
    );
  });

  it('guards against a member that stands twice, of which nodes use the last', async (t) => {
    const text = encode(createDocument()).replace('{', '{ "limits": {},');
    assert.deepEqual(
      (await check(t, text)).findings.map(({ key, kind }) => [key, kind]),
      [['limits', 'never-matches']],
    );
  });

  it('guards against differences that are not shown, and a change that nodes do not take', async (t) => {
    const before = createDocument({ tenants: tenantsWith(['a', ['k1'], 5, 1, null]) });
    const after = {
      ...createDocument({ tenants: tenantsWith(['a', ['k2'], 6, 1, null]) }, [
        ['reads', 'a.example', '/', '2s', '500ms', 'desk'],
      ]),
      version: 8,
    };
    const { code, differences } = await check(t, encode(after), encode(before));
    assert.equal(code, 0);
    assert.deepEqual(differences, [
      'version: 7 -> 8',
      'route "orders": removed',
      'route "reads": timeoutMilliseconds 1000 -> 2000',
      'tenant "a": requestsPerSecond 5 -> 6',
      'API keys: 1 added, 1 removed',
    ]);
    const old = await check(t, encode({ ...after, version: 7 }), encode(before));
    assert.equal(old.code, 1);
    assert.equal(old.findings[0]?.kind, 'version');
    assert.equal((await check(t, encode(before), encode(before))).code, 0);
  });

  it('guards against another exit code than 2 for wrong usage', async () => {
    const store = new MemoryStore();
    assert.equal((await runInMemory(store, 'check')).code, 2);
    assert.equal((await runInMemory(store, 'check', '/does/not/exist.json')).code, 2);
    assert.equal((await runInMemory(store, 'check', 'a.json', '--agains', 'b')).code, 2);
  });
});
