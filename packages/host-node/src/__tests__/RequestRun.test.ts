import { RetryBudget } from '@hickorybridge/coordination';
import { silentLogger } from '@hickorybridge/logger';
import {
  StreamedBody,
  type ExecutionOutcome,
  type RequestBody,
} from '@hickorybridge/peer-protocol';
import {
  HedgeEvent,
  HostLoad,
  RequestHedging,
  RouteWorkEstimator,
  type HostCandidate,
} from '@hickorybridge/routing';
import { Distance, type Route } from '@hickorybridge/types';
import { RandomSource, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { FailureReason, type CallerRequest } from '../routing/CallerRequest.js';
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

function createCandidate(nodeId: string): HostCandidate {
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

const createAnswer = (): ExecutionOutcome => ({
  type: 'answered',
  head: { status: 200, headers: [] },
  report: { limit: 4, inFlight: 0, queued: 0, serviceMilliseconds: 5, rampShare: 1 },
  body: { type: 'whole', data: Buffer.alloc(0) },
});

/** A server error whose body has not arrived completely. */
function createErrorAnswer(stream: PassThrough): ExecutionOutcome {
  return {
    type: 'answered',
    head: { status: 500, headers: [] },
    report: { limit: 4, inFlight: 0, queued: 0, serviceMilliseconds: 5, rampShare: 1 },
    body: { type: 'stream', stream },
  };
}

interface RunOverrides {
  /** Time after which each host answers; hosts never answer by default. */
  readonly answerDelayMilliseconds: number;
  /** Time that it takes to find a free host for a hedged request. */
  readonly freeHostDelayMilliseconds: number;
  readonly idempotent: boolean;
  readonly body: RequestBody;
  readonly allowedRegions: readonly string[];
  /** Error that sending fails with. */
  readonly sendError: Error;
  readonly hedging: RequestHedging;
  readonly maxAttempts: number;
  /** Gives the outcome at one host, in place of the answer after a time. */
  readonly outcomeAt: (nodeId: string, signal: AbortSignal) => Promise<ExecutionOutcome>;
}

/**
 * Starts a request with three hosts. A host queues it until it is cancelled, or answers it after
 * `answerDelayMilliseconds`.
 */
function startRun(timeoutMilliseconds: number, overrides: Partial<RunOverrides> = {}) {
  const { answerDelayMilliseconds, freeHostDelayMilliseconds = 0, idempotent = false } = overrides;
  const askedHosts: string[] = [];
  const hedgedHosts: string[] = [];
  const chooseFirst = (_request: CallerRequest, excluded: ReadonlySet<string>) =>
    ['one', 'two', 'three']
      .filter((nodeId) => !excluded.has(nodeId))
      .map(createCandidate)
      .at(0);
  const chooseFree = async (request: CallerRequest, excluded: ReadonlySet<string>) => {
    await sleep(freeHostDelayMilliseconds);
    return chooseFirst(request, excluded);
  };
  const hedgeEvents: HedgeEvent[] = [];
  const chooseForHedge = async (request: CallerRequest, excluded: ReadonlySet<string>) => {
    const candidate = await chooseFree(request, excluded);
    return candidate === undefined
      ? { type: 'none', reason: HedgeEvent.noHost }
      : { type: 'host', candidate };
  };
  const hosts = { choose: chooseFirst, chooseForHedge, chooseFree, shortestWait: () => 0 };
  const routeWorkEstimator = new RouteWorkEstimator();
  routeWorkEstimator.record(route.name, 5);
  const callerAbort = new AbortController();
  const arrivedAt = systemClock.now();
  const run = new RequestRun(
    {
      hosts: hosts as unknown as HostChoice,
      send: async (nodeId, head, _body, signal): Promise<ExecutionOutcome> => {
        askedHosts.push(nodeId);
        if (head.isHedge === true) hedgedHosts.push(nodeId);
        if (overrides.sendError !== undefined) throw overrides.sendError;
        if (overrides.outcomeAt !== undefined) return overrides.outcomeAt(nodeId, signal);
        if (answerDelayMilliseconds !== undefined) {
          await sleep(answerDelayMilliseconds);
          return createAnswer();
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
      routeWorkEstimator,
      ...(overrides.hedging === undefined ? {} : { hedging: overrides.hedging }),
      onHedge: (_route, event) => hedgeEvents.push(event),
      clock: systemClock,
      random: new RandomSource(2026),
      logger: silentLogger,
    },
    {
      requestId: 'r',
      route: { ...route, idempotent, maxAttempts: overrides.maxAttempts ?? route.maxAttempts },
      service: 'desk',
      method: 'POST',
      target: '/',
      headers: [],
      body: overrides.body ?? { type: 'none' },
      arrivedAt,
      usefulUntil: arrivedAt + 500,
      deadline: arrivedAt + timeoutMilliseconds,
      callerDeadline: arrivedAt + 2000,
      depth: 0,
      ...(overrides.allowedRegions === undefined
        ? {}
        : { allowedRegions: overrides.allowedRegions }),
      signal: callerAbort.signal,
    },
  );
  return { askedHosts, callerAbort, hedgedHosts, hedgeEvents, outcome: run.run() };
}

/** Hedging that has learnt a response time, with work left for a number of hedges. */
async function learnHedging(share: number | undefined, requests: number) {
  const hedging = new RequestHedging({ shareOf: () => share, clock: systemClock });
  for (let count = 0; count < 20; count += 1)
    hedging.recordAttempt('desk', route.name, { milliseconds: 10, answered: true });
  for (let count = 0; count < requests; count += 1) hedging.recordRequest('desk', 5);
  return hedging;
}

/** Host "one" works until it is cancelled; the others answer at once. */
function slowFirstHost(cancelled: string[]) {
  return async (nodeId: string, signal: AbortSignal): Promise<ExecutionOutcome> => {
    if (nodeId !== 'one') return createAnswer();
    await once(signal, 'abort');
    cancelled.push(nodeId);
    return { type: 'refused', reason: 'cancelled', report: undefined };
  };
}

describe('routing of one request', () => {
  it('guards against a retry on another host after the caller has disconnected', async () => {
    const { askedHosts, callerAbort, outcome } = startRun(2000);
    await sleep(10);
    callerAbort.abort();
    await outcome;
    await sleep(50);
    assert.deepEqual(askedHosts, ['one']);
  });

  it('guards against a retry on another host after the caller was answered', async () => {
    const { askedHosts, outcome } = startRun(60);
    const result = await outcome;
    await sleep(50);
    assert.equal(result.type, 'failed');
    assert.deepEqual(askedHosts, ['one']);
  });

  it('guards against a hedged request when the answer arrives while a free host is being selected', async () => {
    // A request with 5 ms of work is hedged after 30 ms.
    const lateAnswers = {
      idempotent: true,
      answerDelayMilliseconds: 60,
      freeHostDelayMilliseconds: 60,
    };
    const { askedHosts, outcome } = startRun(2000, lateAnswers);
    const result = await outcome;
    await sleep(100);
    assert.equal(result.type, 'answered');
    assert.deepEqual(askedHosts, ['one']);
  });

  it('guards against the end of this node that is reported as a caller that has left', async () => {
    const { callerAbort, outcome } = startRun(2000);
    await sleep(10);
    callerAbort.abort(FailureReason.stopping);
    const result = await outcome;
    assert.equal(result.type === 'failed' && result.reason, FailureReason.stopping);
    assert.equal(result.type === 'failed' && result.mayHaveRun, true);
  });

  it('no allowed region: guards against a request that waits although no host may ever get it', async () => {
    const startedAt = systemClock.now();
    const { askedHosts, outcome } = startRun(2000, { allowedRegions: [] });
    const result = await outcome;
    // A request without a usable host waits for 50 ms otherwise.
    assert.ok(systemClock.now() - startedAt < 40, 'the refusal was late');
    assert.equal(result.type === 'failed' && result.mayHaveRun, false);
    assert.deepEqual(askedHosts, []);
  });

  it('fault of the choice: guards against sending to a host outside the allowed regions', async () => {
    // The choice of this test ignores the regions, and its hosts are all in region "r".
    const { askedHosts, outcome } = startRun(2000, { allowedRegions: ['s'] });
    const result = await outcome;
    assert.equal(result.type === 'failed' && result.mayHaveRun, false);
    assert.deepEqual(askedHosts, []);
  });

  it('burst: guards against a hedged request that reads a streamed body beside the first attempt', async () => {
    const source = new StreamedBody(new PassThrough());
    const body: RequestBody = { type: 'stream', source };
    // The first host has the request in its queue, so nothing has read the body yet.
    const { askedHosts, outcome } = startRun(200, { idempotent: true, body });
    await outcome;
    assert.deepEqual(askedHosts, ['one']);
  });

  it('guards against a fault of this process that keeps the caller waiting', async () => {
    const startedAt = systemClock.now();
    const result = await startRun(2000, { sendError: new Error('a fault here') }).outcome;
    assert.ok(systemClock.now() - startedAt < 1000, 'the outcome came at the deadline only');
    assert.equal(result.type === 'failed' && result.mayHaveRun, true);
  });

  // The exchange of a body that nobody reads or discards goes on until its deadline.
  it('guards against a server error that is kept after another host has answered', async () => {
    const stream = new PassThrough();
    const { outcome } = startRun(2000, {
      idempotent: true,
      outcomeAt: async (nodeId) => (nodeId === 'one' ? createErrorAnswer(stream) : createAnswer()),
    });
    const result = await outcome;
    assert.equal(result.type === 'answered' && result.head.status, 200);
    assert.equal(stream.destroyed, true);
  });

  it('guards against a server error that is kept after the caller has disconnected', async () => {
    const stream = new PassThrough();
    const { callerAbort, outcome } = startRun(2000, {
      idempotent: true,
      outcomeAt: async (nodeId, signal) => {
        if (nodeId === 'one') return createErrorAnswer(stream);
        await once(signal, 'abort');
        return { type: 'refused', reason: 'cancelled', report: undefined };
      },
    });
    await sleep(10);
    callerAbort.abort();
    await outcome;
    assert.equal(stream.destroyed, true);
  });

  it('guards against a server error that is passed on although its body has broken off', async () => {
    const stream = new PassThrough();
    stream.on('error', () => {});
    const { outcome } = startRun(2000, {
      idempotent: true,
      outcomeAt: async (nodeId) => {
        if (nodeId === 'one') return createErrorAnswer(stream);
        stream.destroy(new Error('the answer broke off'));
        return { type: 'refused', reason: 'connection-refused', report: undefined };
      },
    });
    const result = await outcome;
    assert.equal(result.type === 'failed' && result.mayHaveRun, true);
  });
});

describe('hedged requests with a limit', () => {
  it('guards against a late request that is not hedged, and a first attempt that goes on', async () => {
    const cancelled: string[] = [];
    const { askedHosts, hedgedHosts, hedgeEvents, outcome } = startRun(2000, {
      idempotent: true,
      hedging: await learnHedging(0.1, 50),
      outcomeAt: slowFirstHost(cancelled),
    });
    assert.equal((await outcome).type, 'answered');
    await sleep(10);
    assert.deepEqual(askedHosts, ['one', 'two']);
    assert.deepEqual(cancelled, ['one']);
    assert.deepEqual(hedgedHosts, ['two']);
    assert.deepEqual(hedgeEvents, [HedgeEvent.sent, HedgeEvent.won]);
  });

  it('guards against a hedge that goes on after the first host has answered', async () => {
    let isCancelled = false;
    const { askedHosts, hedgeEvents, outcome } = startRun(2000, {
      idempotent: true,
      hedging: await learnHedging(0.1, 50),
      outcomeAt: async (nodeId, signal) => {
        if (nodeId === 'one') {
          await sleep(80);
          return createAnswer();
        }
        await once(signal, 'abort');
        isCancelled = true;
        return { type: 'refused', reason: 'cancelled', report: undefined };
      },
    });
    assert.equal((await outcome).type, 'answered');
    await sleep(10);
    assert.deepEqual(askedHosts, ['one', 'two']);
    assert.equal(isCancelled, true);
    assert.deepEqual(hedgeEvents, [HedgeEvent.sent, HedgeEvent.cancelled]);
  });

  it('guards against a hedge beyond the limit', async () => {
    const { askedHosts, hedgeEvents, outcome } = startRun(100, {
      idempotent: true,
      hedging: await learnHedging(0.1, 1),
    });
    await outcome;
    assert.deepEqual(askedHosts, ['one']);
    assert.deepEqual(hedgeEvents, [HedgeEvent.limit]);
  });

  it('guards against a hedge beyond the attempts of the route, of a non-idempotent request, or with the share 0', async () => {
    const hedging = await learnHedging(0.1, 50);
    const variants: Partial<RunOverrides>[] = [
      { idempotent: true, maxAttempts: 1, hedging },
      { idempotent: false, hedging },
      { idempotent: true, hedging: await learnHedging(0, 50) },
    ];
    for (const variant of variants) {
      const { askedHosts, hedgeEvents, outcome } = startRun(100, variant);
      await outcome;
      assert.deepEqual(askedHosts, ['one']);
      assert.deepEqual(hedgeEvents, []);
    }
  });

  it('guards against a hedge after a refusal, which shows that slots are short', async () => {
    const { askedHosts, hedgeEvents, outcome } = startRun(100, {
      idempotent: true,
      maxAttempts: 3,
      hedging: await learnHedging(0.1, 50),
      outcomeAt: async (nodeId, signal) => {
        if (nodeId === 'one') return { type: 'refused', reason: 'queue-full', report: undefined };
        await once(signal, 'abort');
        return { type: 'refused', reason: 'cancelled', report: undefined };
      },
    });
    await outcome;
    assert.deepEqual(askedHosts, ['one', 'two']);
    assert.deepEqual(hedgeEvents, []);
  });

  it('guards against another behaviour of a service without a limit', async () => {
    const cancelled: string[] = [];
    const { askedHosts, hedgedHosts, hedgeEvents, outcome } = startRun(2000, {
      idempotent: true,
      hedging: await learnHedging(undefined, 50),
      outcomeAt: slowFirstHost(cancelled),
    });
    assert.equal((await outcome).type, 'answered');
    assert.deepEqual(askedHosts, ['one', 'two']);
    assert.deepEqual(hedgeEvents, []);
    assert.deepEqual(hedgedHosts, []);
  });
});
