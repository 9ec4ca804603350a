import type { Route, RouteConfiguration, Tenant } from '@hickorybridge/types';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { identifyTenant } from '../callers/identifyTenant.js';

const tenant: Tenant = { name: 'north', requestsPerSecond: 0, burst: 0 };
const configuration = {
  tenantsByKey: new Map([['key-1', tenant]]),
} as unknown as RouteConfiguration;
const route = {} as Route;

function identify(authorization: string | undefined, changes = {}) {
  return identifyTenant({ configuration, route, authorization, isNestedCall: false, ...changes });
}

describe('identifyTenant', () => {
  it('guards against a request that runs without a known key', () => {
    for (const authorization of [undefined, '', 'Bearer', 'Bearer key-2', 'Basic key-1', 'key-1']) {
      assert.equal(identify(authorization).type, 'unknown-key', authorization);
    }
  });

  it('guards against a caller whose valid key is refused', () => {
    assert.deepEqual(identify('Bearer key-1'), { type: 'accepted', tenant });
    assert.deepEqual(identify('bearer  key-1'), { type: 'accepted', tenant });
  });

  it('guards against public routes and nested calls that need a key', () => {
    const accepted = { type: 'accepted', tenant: undefined };
    assert.deepEqual(identify(undefined, { route: { isPublic: true } }), accepted);
    assert.deepEqual(identify(undefined, { isNestedCall: true }), accepted);
  });

  it('guards against a deployment without tenants that asks for keys', () => {
    const without = { configuration: {} as RouteConfiguration };
    assert.deepEqual(identify(undefined, without), { type: 'accepted', tenant: undefined });
  });
});
