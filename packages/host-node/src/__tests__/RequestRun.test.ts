import { RetryBudget } from '@hickorybridge/coordination';
import { silentLogger } from '@hickorybridge/logger';
import type { ExecutionOutcome } from '@hickorybridge/peer-protocol';
import { HostLoad, RouteWorkEstimator, type HostCandidate } from '@hickorybridge/routing';
import { Distance, type Route } from '@hickorybridge/types';
import { RandomSource, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CallerRequest } from '../routing/CallerRequest.js';
import type { HostChoice } from '../routing/HostChoice.js';
import { RequestRun } from '../routing/RequestRun.js';

const route: Route = {
  name: 'orders',
  host: 'a.example',
  pathPrefix: '/',
  idempotent: false,
  timeoutMilliseconds: 60,
  targetMilliseconds: 500,
  priority: 0,
  maxAttempts: 2,
  services: [{ service: 'desk', weight: 1 }],
};

function candidate(nodeId: string): HostCandidate {
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

const answerOf = (): ExecutionOutcome => ({
  type: 'answered',
  head: { status: 200, headers: [] },
  report: { limit: 4, inFlight: 0, queued: 0, serviceMilliseconds: 5, rampShare: 1 },
  body: { type: 'whole', data: Buffer.alloc(0) },
});

interface RunChanges {
  /** When each host answers, in milliseconds; never by default. */
  readonly answersAfter: number;
  /** How long it takes to find a free host for a hedged request, in milliseconds. */
  readonly freeHostAfter: number;
  readonly idempotent: boolean;
}

/** Three hosts, each of which holds a request in its queue until it is cancelled. */
function startRun(timeoutMilliseconds: number, changes: Partial<RunChanges> = {}) {
  const { answersAfter, freeHostAfter = 0, idempotent = false } = changes;
  const asked: string[] = [];
  const first = (_request: CallerRequest, excluded: ReadonlySet<string>) =>
    ['one', 'two', 'three']
      .filter((nodeId) => !excluded.has(nodeId))
      .map(candidate)
      .at(0);
  const chooseFree = async (request: CallerRequest, excluded: ReadonlySet<string>) => {
    await sleep(freeHostAfter);
    return first(request, excluded);
  };
  const hosts = { choose: first, chooseFree, shortestWait: () => 0 };
  const routeTimes = new RouteWorkEstimator();
  routeTimes.record(route.name, 5);
  const leaving = new AbortController();
  const arrivedAt = systemClock.now();
  const run = new RequestRun(
    {
      hosts: hosts as unknown as HostChoice,
      send: async (nodeId, _head, _body, signal): Promise<ExecutionOutcome> => {
        asked.push(nodeId);
        if (answersAfter !== undefined) {
          await sleep(answersAfter);
          return answerOf();
        }
        if (!signal.aborted) await once(signal, 'abort');
        return { type: 'refused', reason: 'cancelled', report: undefined };
      },
      retryBudgetFor: () =>
        new RetryBudget({
          share: 0,
          minimumPerSecond: 0,
          burst: 1,
          initial: 1,
          clock: systemClock,
        }),
      routeTimes,
      clock: systemClock,
      random: new RandomSource(2026),
      logger: silentLogger,
    },
    {
      requestId: 'r',
      route: { ...route, idempotent },
      service: 'desk',
      method: 'POST',
      target: '/',
      headers: [],
      body: { type: 'none' },
      arrivedAt,
      usefulUntil: arrivedAt + 500,
      deadline: arrivedAt + timeoutMilliseconds,
      callerDeadline: arrivedAt + 2000,
      depth: 0,
      signal: leaving.signal,
    },
  );
  return { asked, leaving, outcome: run.run() };
}

describe('the routing of one request', () => {
  it('guards against another host that is asked after the caller has left', async () => {
    const { asked, leaving, outcome } = startRun(2000);
    await sleep(10);
    leaving.abort();
    await outcome;
    await sleep(50);
    assert.deepEqual(asked, ['one']);
  });

  it('guards against another host that is asked after the caller was answered', async () => {
    const { asked, outcome } = startRun(60);
    const told = await outcome;
    await sleep(50);
    assert.equal(told.type, 'failed');
    assert.deepEqual(asked, ['one']);
  });

  it('guards against a hedged request after the answer, which came while hosts were asked', async () => {
    // A request with 5 ms of work is hedged after 30 ms.
    const late = { idempotent: true, answersAfter: 60, freeHostAfter: 60 };
    const { asked, outcome } = startRun(2000, late);
    const told = await outcome;
    await sleep(100);
    assert.equal(told.type, 'answered');
    assert.deepEqual(asked, ['one']);
  });
});
