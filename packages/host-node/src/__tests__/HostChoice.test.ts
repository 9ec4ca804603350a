import type { HostDirectory } from '@hickorybridge/membership';
import { HostLoad, HostSelector, HostSubset, RouteWorkEstimator } from '@hickorybridge/routing';
import { Distance, type HostEntry, type Route } from '@hickorybridge/types';
import { HostSpeedModel, RandomSource, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { CallerRequest } from '../routing/CallerRequest.js';
import { HostChoice } from '../routing/HostChoice.js';
import { LoadProber } from '../routing/LoadProber.js';

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

function createEntry(nodeId: string, region: string): HostEntry {
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

/**
 * Chooses a host for one request. `onLoadRequest` is called with each host whose load is requested,
 * and returns whether the load request could be sent.
 */
async function chooseAmong(
  entries: readonly HostEntry[],
  onLoadRequest: (nodeId: string, choice: HostChoice) => boolean,
  select = (choice: HostChoice, request: CallerRequest) => choice.choose(request, new Set()),
  allowedRegions?: readonly string[],
): Promise<string | undefined> {
  const parts: { choice?: HostChoice } = {};
  const loadProber = new LoadProber({
    requestLoad: (nodeId) => parts.choice !== undefined && onLoadRequest(nodeId, parts.choice),
    clock: systemClock,
  });
  const choice = new HostChoice({
    nodeId: 'own',
    location,
    directory: { ofService: () => entries } as unknown as HostDirectory,
    subset: new HostSubset('own', location, () => entries),
    selector: new HostSelector(new RandomSource(2026)),
    loadProber,
    routeWorkEstimator: new RouteWorkEstimator(),
    speed: new HostSpeedModel(),
    isReachable: () => true,
    isEvacuated: () => false,
    localLoad: () => undefined,
    roundTripTo: () => 1,
    clock: systemClock,
  });
  parts.choice = choice;
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
    ...(allowedRegions === undefined ? {} : { allowedRegions }),
    signal: new AbortController().signal,
  } as const;
  const chosen = await select(choice, request);
  if (allowedRegions !== undefined) {
    const free = await choice.chooseFree(request, new Set());
    assert.ok(free === undefined || allowedRegions.includes(free.entry.location.region));
  }
  return chosen?.entry.nodeId;
}

const fullLoad = { limit: 9, inFlight: 9, queued: 9, serviceMilliseconds: 300, rampShare: 1 };

describe('choice of a host by requested loads', () => {
  it('guards against requests that cross regions because no host of the region reports its load', async () => {
    const entries = [createEntry('near', 'r'), createEntry('far', 's')];
    // The load request is sent, but no report comes back.
    assert.equal(await chooseAmong(entries, () => true), 'near');
  });

  it('guards against choosing an unresponsive host because its load is unknown', async () => {
    const entries = [createEntry('busy', 'r'), createEntry('silent', 'r')];
    const chosen = await chooseAmong(entries, (nodeId, choice) => {
      if (nodeId === 'busy') choice.loadOf('busy').recordReport(fullLoad, systemClock.now());
      return true;
    });
    assert.equal(chosen, 'busy');
  });

  it('upgrade: guards against sending no requests to hosts of an older version', async () => {
    const entries = [createEntry('busy', 'r'), createEntry('older', 'r')];
    const chosen = await chooseAmong(entries, (nodeId, choice) => {
      if (nodeId === 'busy') choice.loadOf('busy').recordReport(fullLoad, systemClock.now());
      return nodeId === 'busy';
    });
    assert.equal(chosen, 'older');
  });

  it('overload of a region: guards against a first attempt, hedge or retry outside the allowed regions', async () => {
    const entries = [createEntry('near', 'r'), createEntry('far', 's')];
    // Only the host that must not get the request is free.
    const onLoadRequest = (nodeId: string, choice: HostChoice) => {
      const load = nodeId === 'far' ? fullLoad : { ...fullLoad, inFlight: 0, queued: 0 };
      choice.loadOf(nodeId).recordReport(load, systemClock.now());
      return true;
    };
    assert.equal(await chooseAmong(entries, onLoadRequest, undefined, ['s']), 'far');
    assert.equal(await chooseAmong(entries, onLoadRequest, undefined, ['r', 's']), 'near');
    assert.equal(await chooseAmong(entries, onLoadRequest, undefined, ['t']), undefined);
    assert.equal(await chooseAmong(entries, onLoadRequest, undefined, []), undefined);
  });

  it('large subset: guards against probes of more hosts than improve the choice', async () => {
    const entries = ['a', 'b', 'c', 'd', 'e', 'f'].map((name) => createEntry(name, 'r'));
    const probed: string[] = [];
    const chosen = await chooseAmong(entries, (nodeId, choice) => {
      probed.push(nodeId);
      const inFlight = nodeId === probed[2] ? 0 : 9;
      choice.loadOf(nodeId).recordReport({ ...fullLoad, inFlight, queued: 0 }, systemClock.now());
      return true;
    });
    assert.equal(probed.length, 3);
    assert.equal(chosen, probed[2]);
  });
});

describe('choice of a host for a hedge', () => {
  const first = {
    entry: { ...createEntry('first', 'r'), location: { region: 'r', failureDomain: 'other' } },
    distance: Distance.sameRegion,
    load: new HostLoad(),
    roundTripMilliseconds: 1,
  };
  /** Chooses among the hosts that answer a probe with the given number of requests in flight. */
  const chooseFor = async (inFlightOf: Readonly<Record<string, number>>) => {
    const entries = Object.keys(inFlightOf).map((name) => createEntry(name, 'r'));
    const onLoadRequest = (nodeId: string, choice: HostChoice) => {
      const report = { ...fullLoad, inFlight: inFlightOf[nodeId] ?? 0, queued: 0 };
      choice.loadOf(nodeId).recordReport(report, systemClock.now());
      return true;
    };
    return chooseAmong(entries, onLoadRequest, async (choice, request) => {
      const chosen = await choice.chooseForHedge(request, new Set(['first']), first);
      return chosen.type === 'host' ? chosen.candidate : undefined;
    });
  };

  it('guards against a hedge to a host whose load is not known or that has no free slot', async () => {
    assert.equal(await chooseFor({ full: 9, free: 1 }), 'free');
    assert.equal(await chooseFor({ full: 9, nearly: 8 }), undefined);
    assert.equal(await chooseFor({}), undefined);
  });
});
