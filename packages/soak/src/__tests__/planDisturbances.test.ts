import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RandomSource } from '@hickorybridge/utils';

import { planDisturbances } from '../disturbances/planDisturbances.js';
import { Profile } from '../disturbances/Profile.js';

function plan(profile: Profile, seed: number) {
  return planDisturbances({ profile, hosts: 12, seconds: 120, random: new RandomSource(seed) });
}

describe('the plan of disturbances', () => {
  it('guards against runs that a seed does not repeat', () => {
    for (const profile of Object.values(Profile)) {
      assert.deepEqual(plan(profile, 7), plan(profile, 7));
      assert.notDeepEqual(plan(profile, 7), plan(profile, 8));
    }
  });

  it('guards against small seeds that all disturb the same nodes with tenants', () => {
    const killed = [1, 2, 3, 4, 5, 6].map((seed) => {
      const [kill] = plan(Profile.tenants, seed);
      return kill?.type === 'kill' ? kill.host : undefined;
    });
    assert.ok(new Set(killed).size >= 3, `hosts ${killed.join(', ')}`);
  });

  it('guards against a profile that leaves out a kind of disturbance', () => {
    const typesOf = (profile: Profile) =>
      [...new Set([1, 2, 3].flatMap((seed) => plan(profile, seed).map(({ type }) => type)))].sort();
    assert.deepEqual(typesOf('planned'), ['configure', 'drain', 'reload', 'stop']);
    assert.deepEqual(
      typesOf('faults').filter((type) => type !== 'reload'),
      ['backend-mode', 'configure', 'kill', 'pause', 'stop', 'store'],
    );
    assert.deepEqual(typesOf('overload'), [
      'backend-mode',
      'hasty-callers',
      'kill',
      'load',
      'slots',
    ]);
    assert.deepEqual(typesOf('starts'), ['hold-port', 'restart', 'store']);
    assert.deepEqual(typesOf('tenants'), ['kill', 'pause', 'remove-key', 'slots']);
  });
});
