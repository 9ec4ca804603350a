import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';

import { overloadPatterns } from './overloadPatterns.js';
import { simulateLoad, type LoadSource, type SourceResult } from './simulateLoad.js';

const seed = 1;
const milliseconds = 12_000;
/** No tenant and no kind may be served less often than this fraction of all requests. */
const minimumFraction = 0.25;

async function run(sources: readonly LoadSource[]): Promise<SourceResult[]> {
  return simulateLoad({ sources, milliseconds, seed });
}

function servedShare(results: readonly SourceResult[]): number {
  const sum = (key: keyof SourceResult) => results.reduce((total, each) => total + each[key], 0);
  return sum('served') / sum('sent');
}

function servedShareOf(sources: readonly LoadSource[], results: readonly SourceResult[]) {
  return (key: 'tenant' | 'kind', name: string) =>
    servedShare(results.filter((_, index) => sources[index]?.[key] === name));
}

describe('order of service with tenants', () => {
  it('overload without tenants: guards against decisions that differ from those before tenants', async () => {
    const common = { timeoutMilliseconds: 1000, workMilliseconds: 30 };
    const outcomes = createHash('sha256');
    await simulateLoad({
      seed: 11,
      milliseconds: 10_000,
      onOutcome: (request, outcome, now) => {
        outcomes.update(`${request} ${outcome} ${now.toFixed(3)}\n`);
      },
      sources: [
        { ...common, kind: 'short', weight: 1, requestsPerSecond: 150, targetMilliseconds: 150 },
        {
          ...common,
          kind: 'long',
          weight: 0.5,
          requestsPerSecond: 100,
          targetMilliseconds: 1500,
          timeoutMilliseconds: 3000,
        },
      ],
    });
    // The outcomes of the sources of ec9c0e4, before requests had a tenant.
    assert.equal(outcomes.digest('hex').slice(0, 16), '934e3909481d707a');
  });

  it('three full priorities: guards against less urgent tenants that are served first or starve', async () => {
    const sources = overloadPatterns.priorities;
    const results = await run(sources);
    const [urgent = 0, middle = 0, least = 0] = results.map((result) => servedShare([result]));
    assert.ok(urgent > 2 * middle, `urgent ${urgent}, middle ${middle}`);
    assert.ok(least >= minimumFraction * servedShare(results), `least urgent ${least}`);
  });

  it('burst with a long target: guards against short work that waits behind the burst', async () => {
    const sources = overloadPatterns.longBurst;
    const [steady] = await run(sources);
    const plain = sources.map((source) => ({ ...source, tenant: undefined }));
    const [steadyBefore] = await run(plain);
    assert.ok(steady !== undefined && steadyBefore !== undefined);
    assert.ok(steady.inTime / steady.sent > 0.8);
    assert.ok(steady.inTime > steadyBefore.inTime);
  });

  it('two kinds, both too many: guards against a kind of long target that starves', async () => {
    const sources = overloadPatterns.kinds;
    const results = await run(sources);
    const shareOf = servedShareOf(sources, results);
    assert.ok(shareOf('kind', 'long') >= minimumFraction * servedShare(results));
    assert.ok(shareOf('kind', 'short') > shareOf('kind', 'long'));
  });
});
