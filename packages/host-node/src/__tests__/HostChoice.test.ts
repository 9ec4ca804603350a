import type { HostDirectory } from '@hickorybridge/membership';
import { HostSelector, HostSubset, RouteTimes } from '@hickorybridge/routing';
import type { HostEntry, Route } from '@hickorybridge/types';
import { HostSpeed, RandomSource, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { HostChoice } from '../routing/HostChoice.js';
import { LoadInquiry } from '../routing/LoadInquiry.js';

const service = 'desk';
const location = { region: 'r', failureDomain: 'd' };
const route: Route = {
  name: 'reads',
  host: 'a.example',
  pathPrefix: '/',
  idempotent: true,
  timeoutMilliseconds: 1200,
  targetMilliseconds: 800,
  priority: 0,
  maxAttempts: 2,
  services: [{ service, weight: 1 }],
};

function entryOf(nodeId: string, region: string): HostEntry {
  return {
    nodeId,
    peerAddress: { host: '10.0.0.1', port: 1 },
    location: { region, failureDomain: region === 'r' ? 'd' : 'e' },
    service,
    backendServerId: `b-${nodeId}`,
    slots: 9,
    leaving: false,
  };
}

describe('choice of a host by loads that are asked for', () => {
  it('guards against requests that cross regions because no near host has answered', async () => {
    const entries = [entryOf('near', 'r'), entryOf('far', 's')];
    const choice = new HostChoice({
      nodeId: 'own',
      location,
      directory: { ofService: () => entries } as unknown as HostDirectory,
      subset: new HostSubset('own', location, () => entries),
      selector: new HostSelector(new RandomSource(2026)),
      // It was sent, and nothing comes back.
      inquiry: new LoadInquiry({ request: () => true, clock: systemClock }),
      routeTimes: new RouteTimes(),
      speed: new HostSpeed(),
      isReachable: () => true,
      ownLoad: () => undefined,
      roundTripTo: () => 1,
      clock: systemClock,
    });
    const now = systemClock.now();
    const request = {
      requestId: 'r',
      route,
      service,
      method: 'GET',
      target: '/',
      headers: [],
      body: { type: 'none' },
      arrivedAt: now,
      usefulUntil: now + 800,
      deadline: now + 1200,
      callerDeadline: now + 2000,
      depth: 0,
      signal: new AbortController().signal,
    } as const;
    const chosen = await choice.choose(request, new Set());
    assert.equal(chosen?.entry.nodeId, 'near');
  });
});
