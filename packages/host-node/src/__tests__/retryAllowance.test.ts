import { silentLogger } from '@hickorybridge/logger';
import type { ExecutionOutcome } from '@hickorybridge/peer-protocol';
import { HostLoad, RouteWorkEstimator, type HostCandidate } from '@hickorybridge/routing';
import { Distance, type Route } from '@hickorybridge/types';
import { RandomSource, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CallerRequest } from '../routing/CallerRequest.js';
import type { HostChoice } from '../routing/HostChoice.js';
import { RequestRouter } from '../routing/RequestRouter.js';

const retryShare = 0.2;
const retrySlack = 60;
const nodes = 12;

const route: Route = {
  name: 'orders',
  host: 'a.example',
  pathPrefix: '/',
  idempotent: true,
  timeoutMilliseconds: 2000,
  targetMilliseconds: 500,
  priority: 0,
  maxAttempts: 3,
  services: [{ service: 'desk', weight: 1 }],
};

const serverError: ExecutionOutcome = {
  type: 'answered',
  head: { status: 500, headers: [] },
  report: { limit: 4, inFlight: 0, queued: 0, serviceMilliseconds: 5, rampShare: 1 },
  body: { type: 'whole', data: Buffer.alloc(0) },
};

const refuse = (reason: 'misdirected' | 'no-such-backend-server'): ExecutionOutcome => ({
  type: 'refused',
  reason,
  report: undefined,
});

function candidateOf(nodeId: string): HostCandidate {
  return {
    entry: {
      nodeId,
      peerAddress: { host: '10.0.0.1', port: 1 },
      location: { region: 'r', failureDomain: 'd' },
      service: 'desk',
      backendServerId: `b-${nodeId}`,
      slots: 4,
      leaving: false,
    },
    distance: Distance.sameRegion,
    load: new HostLoad(),
    roundTripMilliseconds: 1,
  };
}

interface RouterOverrides {
  readonly nodeCount: () => number;
  readonly send: (nodeId: string) => Promise<ExecutionOutcome>;
  /** Gives the free host for a hedged request. */
  readonly chooseFree: (excluded: ReadonlySet<string>) => Promise<HostCandidate | undefined>;
}

/** A router of one node, which counts the attempts that it sends. */
function createRouter(overrides: Partial<RouterOverrides> = {}) {
  const state = { sent: 0, deadlines: [] as number[], repeats: [] as boolean[] };
  const choose = (_request: CallerRequest, excluded: ReadonlySet<string>) =>
    ['one', 'two', 'three', 'four']
      .filter((nodeId) => !excluded.has(nodeId))
      .map(candidateOf)
      .at(0);
  const chooseFree = async (request: CallerRequest, excluded: ReadonlySet<string>) =>
    overrides.chooseFree === undefined ? choose(request, excluded) : overrides.chooseFree(excluded);
  const routeWorkEstimator = new RouteWorkEstimator();
  routeWorkEstimator.record(route.name, 5);
  const router = new RequestRouter({
    hosts: { choose, chooseFree, shortestWait: () => 0 } as unknown as HostChoice,
    send: async (nodeId, { deadline, isRepeat = false }) => {
      state.sent += 1;
      state.deadlines.push(deadline);
      state.repeats.push(isRepeat);
      return overrides.send === undefined ? serverError : overrides.send(nodeId);
    },
    bounds: {
      drainMilliseconds: 500,
      configurationMilliseconds: 2000,
      graceMilliseconds: 4000,
      retryShare,
      retrySlack,
      retryWindowMilliseconds: 10_000,
    },
    nodeCount: overrides.nodeCount ?? (() => nodes),
    isNewNode: () => true,
    routeWorkEstimator,
    clock: systemClock,
    random: new RandomSource(2026),
    logger: silentLogger,
  });
  const sendRequest = async (changes: Partial<CallerRequest> = {}) => {
    const arrivedAt = systemClock.now();
    await router.route({
      requestId: 'r',
      route,
      service: 'desk',
      method: 'GET',
      target: '/',
      headers: [],
      body: { type: 'none' },
      arrivedAt,
      usefulUntil: arrivedAt + 500,
      deadline: arrivedAt + 2000,
      callerDeadline: arrivedAt + 2000,
      depth: 0,
      signal: new AbortController().signal,
      ...changes,
    });
  };
  const sendRequests = async (count: number) => {
    for (let index = 0; index < count; index += 1) await sendRequest();
  };
  return { state, sendRequest, sendRequests };
}

describe('the retry allowance of a fleet', () => {
  it('guards against nodes that keep the allowance of the few hosts known at their start', async () => {
    let known = 0;
    const routers = Array.from({ length: nodes }, () => createRouter({ nodeCount: () => known }));
    await Promise.all(routers.map(({ sendRequests }) => sendRequests(1)));
    known = nodes;
    await Promise.all(routers.map(({ sendRequests }) => sendRequests(19)));
    const requests = nodes * 20;
    const retries = routers.reduce((sum, { state }) => sum + state.sent, 0) - requests;
    const limit = retryShare * requests + retrySlack;
    assert.ok(retries <= limit, `${retries} retries of ${requests} requests, limit ${limit}`);
    assert.ok(retries > 0, 'no request was retried');
  });

  it('guards against repeats after 421 that take nothing from the allowance', async () => {
    const { sendRequests, state } = createRouter({ send: async () => refuse('misdirected') });
    await sendRequests(100);
    // A tenth of the requests, and the slack of one node.
    assert.ok(state.sent <= 100 + 0.1 * 100 + retrySlack / nodes, `${state.sent} arrivals`);
  });

  it('guards against a request that a node refused and that is sent to no other host', async () => {
    const { sendRequests, state } = createRouter({
      send: async (nodeId) => (nodeId === 'one' ? refuse('no-such-backend-server') : serverError),
    });
    await sendRequests(1);
    assert.ok(state.sent >= 2, `${state.sent} attempts`);
  });

  it('guards against a hedged request that was not sent and extends the allowance', async () => {
    const { sendRequest, state } = createRouter({
      chooseFree: async () => undefined,
      send: async () => {
        await sleep(60);
        return serverError;
      },
    });
    await Promise.all(Array.from({ length: 100 }, () => sendRequest()));
    assert.ok(state.sent <= 100 + 0.1 * 100 + retrySlack / nodes, `${state.sent} arrivals`);
  });

  // Such calls count as repeats at the service that they call, and cannot be held back there.
  it('failing service: guards against retries on top of the calls that repeated runs make', async () => {
    let outcome: ExecutionOutcome = { ...serverError, head: { status: 200, headers: [] } };
    const { sendRequest, sendRequests, state } = createRouter({ send: async () => outcome });
    for (let call = 0; call < 20; call += 1) await sendRequest({ depth: 1, isBelowRepeat: true });
    outcome = serverError;
    await sendRequests(100);
    assert.equal(state.sent, 120, 'the calls have used the allowance up');
  });

  it('guards against a repeat whose calls are not known to be repeats', async () => {
    const { sendRequest, state } = createRouter();
    await sendRequest();
    await sendRequest({ depth: 1, isBelowRepeat: true });
    assert.deepEqual(state.repeats.slice(0, 2), [false, true]);
    assert.equal(state.repeats.at(-1), true);
  });

  it('late repeat: guards against a deadline that ends after that of the first attempt', async () => {
    const { sendRequest, state } = createRouter({
      chooseFree: async () => undefined,
      send: async () => {
        await sleep(600);
        return serverError;
      },
    });
    await sendRequest();
    assert.equal(new Set(state.deadlines).size, 1);
    assert.ok(state.sent > 1, 'the request was not repeated');
  });
});
