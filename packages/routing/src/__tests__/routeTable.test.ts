import type { Route } from '@hickorybridge/types';
import { RandomSource } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RouteTable } from '../index.js';

function routeOf(host: string, pathPrefix: string): Route {
  return {
    name: `${host} ${pathPrefix}`,
    host,
    pathPrefix,
    idempotent: true,
    timeoutMilliseconds: 1000,
    targetMilliseconds: 500,
    priority: 0,
    maxAttempts: 1,
    services: [{ service: 'desk', weight: 1 }],
  };
}

// Guards against a request that matches a shorter prefix or the route of another host.
test('the longest matching prefix takes precedence, regardless of the order of the routes', () => {
  const random = new RandomSource(7);
  const segments = ['a', 'b', 'ab'];
  const draw = () => segments[random.integerBelow(segments.length)];
  for (let round = 0; round < 200; round += 1) {
    const routes = Array.from({ length: 12 }, () =>
      routeOf(
        `${draw()}.example`,
        `/${Array.from({ length: random.integerBelow(4) }, () => `${draw()}/`).join('')}`,
      ),
    );
    const table = new RouteTable(routes);
    const host = `${draw()}.example`;
    const path = `/${draw()}/${draw()}/${draw()}`;
    const expected = routes
      .filter((route) => route.host === host && path.startsWith(route.pathPrefix))
      .sort((first, second) => second.pathPrefix.length - first.pathPrefix.length)[0];
    assert.equal(table.find(host.toUpperCase(), `${path}?x=/a/`)?.name, expected?.name);
  }
});

// Guards against a lookup cost that grows with the number of routes.
test('a route is found as quickly among 20,000 routes as among 20', () => {
  const timeOf = (count: number) => {
    const routes = Array.from({ length: count }, (_unused, index) =>
      routeOf('a.example', `/${String(index).padStart(6, '0')}/`),
    );
    const table = new RouteTable(routes);
    const last = `${routes.at(-1)?.pathPrefix}x`;
    const startedAt = performance.now();
    for (let index = 0; index < 20_000; index += 1) table.find('a.example', last);
    return performance.now() - startedAt;
  };
  timeOf(20);
  // A linear scan takes a thousand times as long; the factor tolerates a busy machine.
  assert.ok(timeOf(20_000) < 50 * Math.max(1, timeOf(20)));
});
