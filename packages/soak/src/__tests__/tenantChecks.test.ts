import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { checkRun } from '../checks/checkRun.js';
import { allowedRuns } from '../checks/findQuotaBreaches.js';
import { keyPrefix, meshTenants, removedKey, tenantBounds } from '../mesh/meshTenants.js';
import type { EventFields } from '../record/SoakEvent.js';
import { TestRecord } from './TestRecord.js';

const usualKey = `${keyPrefix}usual-a`;
const smallKey = `${keyPrefix}small`;

/** Gives the causes of the breaches of one rule. */
function causesOf(rule: string, record: TestRecord): string[] {
  record.events.sort((first, second) => first.at - second.at);
  return checkRun(record.events)
    .breaches.filter((breach) => breach.rule === rule)
    .map(({ cause }) => cause);
}

/** Requests of the small tenant, of which each is sent and runs at the times given. */
function runs(times: readonly (readonly [sentAt: number, arrivedAt: number])[]): TestRecord {
  const record = new TestRecord();
  for (const [index, [sentAt, arrivedAt]] of times.entries()) {
    record.send(sentAt, `r${index}`, { key: smallKey });
    record.arrive(arrivedAt, `r${index}`, { tenant: 'small', backend: `i-${index % 3}` });
  }
  return record;
}

describe('the check of QUOTA', () => {
  const [small] = meshTenants;
  assert.ok(small);
  const allowed = Math.floor(allowedRuns(small));
  const spread = (count: number, span: number) =>
    Array.from({ length: count }, (_, index) => {
      const at = 1000 + (index * span) / Math.max(1, count - 1);
      return [at, at] as const;
    });

  it('guards against a bound other than that of the specification', () => {
    assert.equal(allowed, 31);
  });

  it('guards against one request too many in a window, summed over backend servers', () => {
    assert.deepEqual(causesOf('QUOTA', runs(spread(allowed, 5000))), []);
    assert.deepEqual(causesOf('QUOTA', runs(spread(allowed + 1, 5000))), [
      '32 requests of tenant small within 5000 ms, 31 allowed',
    ]);
    assert.deepEqual(causesOf('QUOTA', runs(spread(allowed + 1, 5200))), []);
  });

  it('counts a request that was sent before the window or that did not run no more', () => {
    const within = spread(allowed, 4900);
    assert.deepEqual(causesOf('QUOTA', runs([[900, 6000], ...within])), []);
    const unused = runs([...within, [5950, 5950]]).add(5960, {
      type: 'run-ended',
      id: `r${allowed}`,
      backend: `i-${allowed % 3}`,
      end: 'not-executed',
    });
    assert.deepEqual(causesOf('QUOTA', unused), []);
  });

  it('counts no calls of backend servers', () => {
    const record = runs(spread(allowed, 4000));
    record.send(2000, 'r0.r99', { parent: 'r0' }).arrive(2001, 'r0.r99', { tenant: 'small' });
    assert.deepEqual(causesOf('QUOTA', record), []);
  });
});

describe('the check of KEY', () => {
  const arrival = (key: string, fields: Partial<EventFields['arrived']>, at = 1000) =>
    new TestRecord().send(at, 'r1', { key }).arrive(at + 5, 'r1', fields);

  it('guards against requests without a key of a tenant that reach a backend server', () => {
    assert.deepEqual(causesOf('KEY', arrival(usualKey, { tenant: 'usual-a' })), []);
    for (const key of ['', `${keyPrefix}unknown`]) {
      assert.equal(causesOf('KEY', arrival(key, {})).length, 1, `key "${key}"`);
      assert.equal(causesOf('KEY', arrival(key, { tenant: 'usual-a' })).length, 1, `key "${key}"`);
    }
  });

  it('guards against a Tenant that is absent or that of another key', () => {
    assert.deepEqual(causesOf('KEY', arrival(usualKey, {})), [
      'Tenant was "" instead of "usual-a"',
    ]);
    assert.equal(causesOf('KEY', arrival(usualKey, { tenant: 'small' })).length, 1);
  });

  it('guards against a key that a backend server receives, also in a call', () => {
    const seen = { tenant: 'usual-a', keySeen: true };
    assert.equal(causesOf('KEY', arrival(usualKey, seen)).length, 1);
    const call = new TestRecord().send(1, 'r1.r2', { parent: 'r1' }).arrive(2, 'r1.r2', seen);
    assert.equal(causesOf('KEY', call).length, 1);
  });

  it('guards against a removed key that is accepted after the bound', () => {
    const removed = (sentAt: number) =>
      arrival(removedKey, { tenant: 'usual-c' }, sentAt).add(1000, {
        type: 'key-removed',
        key: removedKey,
      });
    const bound = 1000 + tenantBounds.revoke;
    assert.deepEqual(causesOf('KEY', removed(bound)), []);
    assert.equal(causesOf('KEY', removed(bound + 1)).length, 1);
  });

  it('guards against a node that uses a removed key longer than the bound after a pause', () => {
    const removed = (sentAt: number) =>
      arrival(removedKey, { tenant: 'usual-c' }, sentAt)
        .startNode('a')
        .add(1000, { type: 'key-removed', key: removedKey })
        .signal(900, 'SIGSTOP')
        .signal(3000, 'SIGCONT');
    assert.deepEqual(causesOf('KEY', removed(3000 + tenantBounds.revoke)), []);
    assert.equal(causesOf('KEY', removed(3001 + tenantBounds.revoke)).length, 1);
  });
});

describe('the check of FAIRNESS', () => {
  /** Twelve requests of a tenant in 10 s, of which so many are served. */
  const share = (record: TestRecord, tenant: string, served: number, count = 12) => {
    for (let index = 0; index < count; index += 1) {
      const [id, at] = [`${tenant}-${index}`, 1000 + (index * 10_000) / count];
      record.send(at, id, { key: `${keyPrefix}${tenant}` }).add(at + 50, {
        type: 'ended',
        id,
        node: 'a',
        end: 'answered',
        kept: true,
        status: index < served ? 200 : 503,
      });
    }
    return record;
  };

  it('guards against a tenant that is served less than a quarter as often as all', () => {
    const others = () => share(new TestRecord(), 'usual-a', 100, 100);
    assert.deepEqual(causesOf('FAIRNESS', share(others(), 'small', 3)), []);
    assert.equal(causesOf('FAIRNESS', share(others(), 'small', 2)).length, 1);
  });

  it('takes no tenant beyond its quota for a starved one', () => {
    const record = share(share(new TestRecord(), 'usual-a', 100, 100), 'hot', 5, 200);
    assert.deepEqual(causesOf('FAIRNESS', record), []);
  });

  it('guards against a tenant that is starved in a part of the run only', () => {
    const record = new TestRecord();
    for (let index = 0; index < 200; index += 1) {
      const [id, at] = [`u-${index}`, 1000 + index * 200];
      const key = index % 2 === 0 ? usualKey : `${keyPrefix}usual-b`;
      const starved = key === usualKey && at > 11_000 && at < 22_000;
      const status = starved ? 503 : 200;
      record
        .send(at, id, { key })
        .add(at + 50, { type: 'ended', id, node: 'a', end: 'answered', kept: true, status });
    }
    assert.match(causesOf('FAIRNESS', record)[0] ?? '', /tenant usual-a was served 0\.\d+ of 2\d/);
  });
});
