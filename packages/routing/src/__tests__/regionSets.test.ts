import type { Route, RouteConfiguration, Tenant } from '@hickorybridge/types';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { findRegionSets } from '../findRegionSets.js';

function createRoute(service: string, changes: Partial<Route> = {}): Route {
  return {
    name: service,
    host: 'a.example',
    pathPrefix: `/${service}/`,
    idempotent: true,
    timeoutMilliseconds: 1000,
    targetMilliseconds: 500,
    priority: 0,
    maxAttempts: 2,
    services: [{ service, weight: 1 }],
    ...changes,
  };
}

function createConfiguration(
  routes: readonly Route[],
  tenants: readonly (readonly string[])[] = [],
): RouteConfiguration {
  const toTenant = (allowedRegions: readonly string[], index: number): [string, Tenant] => [
    `key-${index}`,
    { name: `t-${index}`, requestsPerSecond: 0, burst: 0, allowedRegions },
  ];
  return {
    version: 1,
    routes,
    services: new Map(),
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    tenantsByKey: new Map(tenants.map(toTenant)),
  };
}

describe('restrictions of services to regions', () => {
  it('earlier deployments: guards against connections that no restriction calls for', () => {
    assert.equal(findRegionSets(createConfiguration([createRoute('desk')])).size, 0);
  });

  it('guards against a service that lacks connections for a route or a tenant', () => {
    const routes = [
      createRoute('desk', { allowedRegions: ['r', 's'] }),
      createRoute('desk', { isPublic: true, allowedRegions: ['t'] }),
      createRoute('shelf'),
    ];
    const sets = findRegionSets(createConfiguration(routes, [['s'], ['s'], ['t']]));
    assert.deepEqual(sets.get('desk'), [['r', 's'], ['s'], ['t']]);
    assert.deepEqual(sets.get('shelf'), [['s'], ['t']]);
  });
});
