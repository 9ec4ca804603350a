import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PolicyName } from '@hickorybridge/configuration';
import { Fixture } from './fixtures.js';

for (const policy of Object.values(PolicyName)) {
  test(`guards against selecting leaving, excluded or down backend servers: ${policy}`, () => {
    const fixture = new Fixture(8);
    const selector = fixture.makeSelector(policy);
    fixture.replace('server-0', { state: 'leaving' });
    fixture.verdicts.set('server-1', 'down');
    for (let round = 0; round < 200; round += 1) {
      const entry = selector.select(fixture.request(['server-4']));
      assert.ok(entry !== undefined);
      assert.ok(!['server-0', 'server-1', 'server-4'].includes(entry.backendServerId));
    }
    for (let index = 0; index < 8; index += 1) fixture.verdicts.set(`server-${index}`, 'down');
    assert.equal(selector.select(fixture.request()), undefined);
  });
}
