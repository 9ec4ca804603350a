import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type {
  AdmissionController,
  AdmissionOutcome,
  AdmissionRequest,
  Permit,
} from '../AdmissionController.js';
import { createAdaptiveAdmissionController } from '../createAdaptiveAdmissionController.js';
import { ManualClock } from './ManualClock.js';

const serviceMilliseconds = 10;

function makeRequest(
  clock: ManualClock,
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    kind: 'read',
    weight: 1,
    depth: 0,
    deadline: clock.now() + 500,
    signal: new AbortController().signal,
    ...overrides,
  };
}

interface Arrival extends Partial<AdmissionRequest> {
  /** Time from the arrival to the deadline, in milliseconds. */
  readonly within?: number;
}

interface LoadOptions {
  readonly clock: ManualClock;
  readonly admission: AdmissionController;
  /** Requests that arrive in each millisecond, as a repeating sequence. */
  readonly arrivals: readonly (readonly Arrival[])[];
  readonly milliseconds: number;
  /** Service time in milliseconds by the number of requests in flight. */
  readonly serviceTime: (inFlight: number) => number;
}

/** Simulates load in steps of 1 ms until all requests end. Returns the outcomes by kind. */
async function simulateLoad(options: LoadOptions): Promise<Map<string, AdmissionOutcome[]>> {
  const { clock, admission, arrivals, milliseconds, serviceTime } = options;
  const outcomes = new Map<string, AdmissionOutcome[]>();
  const running: { readonly until: number; readonly end: () => void }[] = [];
  const started = (kind: string, outcome: AdmissionOutcome): void => {
    outcomes.set(kind, [...(outcomes.get(kind) ?? []), outcome]);
    if (outcome.type === 'refused') return;
    const time = serviceTime(admission.report().inFlight);
    running.push({ until: clock.now() + time, end: () => outcome.permit.release(time) });
  };
  for (let step = 0; step < milliseconds || running.length > 0; step += 1) {
    const arriving = step < milliseconds ? (arrivals[step % arrivals.length] ?? []) : [];
    for (const { within = 500, ...overrides } of arriving) {
      const request = makeRequest(clock, { deadline: clock.now() + within, ...overrides });
      admission.admit(request).then((outcome) => started(request.kind, outcome));
    }
    await clock.advance(1);
    for (const run of running.filter(({ until }) => until <= clock.now())) {
      running.splice(running.indexOf(run), 1);
      run.end();
    }
    await clock.advance(0);
  }
  return outcomes;
}

function countAdmitted(outcomes: readonly AdmissionOutcome[] | undefined): number {
  return (outcomes ?? []).filter(({ type }) => type === 'admitted').length;
}

function makeAdmission(clock: ManualClock, slots: number, rampMilliseconds = 0) {
  return createAdaptiveAdmissionController({ slots, connections: 100, rampMilliseconds, clock });
}

test('guards against a limit that ignores a noisy neighbour or never recovers', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock, 12);
  const saturating = { clock, admission, arrivals: [[{}, {}]], milliseconds: 1_500 };
  await simulateLoad({ ...saturating, serviceTime: () => serviceMilliseconds });
  assert.equal(admission.report().limit, 12);
  const contendedServiceTime = (inFlight: number): number =>
    serviceMilliseconds * Math.max(1, inFlight / 4);
  await simulateLoad({ ...saturating, serviceTime: contendedServiceTime });
  const { limit } = admission.report();
  assert.ok(limit <= 8, `limit ${limit} with 4 of 12 slots left`);
  await simulateLoad({ ...saturating, serviceTime: () => serviceMilliseconds });
  assert.ok(admission.report().limit >= 11, `limit ${admission.report().limit} after recovery`);
});

test('guards against a limit that collapses when every request is slow at any concurrency', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock, 12);
  const load = { clock, admission, arrivals: [[{ within: Infinity }]], milliseconds: 1_000 };
  await simulateLoad({ ...load, serviceTime: () => serviceMilliseconds });
  await simulateLoad({ ...load, milliseconds: 4_000, serviceTime: () => 5 * serviceMilliseconds });
  assert.ok(admission.report().limit >= 8, `limit ${admission.report().limit} of 12`);
});

test('guards against overload that outlasts a flash crowd, and wasted runs during it', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock, 10);
  const serviceTime = (): number => serviceMilliseconds;
  const flashCrowd = [[{ within: 40 }, {}], [{}]];
  const during = await simulateLoad({
    clock,
    admission,
    arrivals: flashCrowd,
    milliseconds: 600,
    serviceTime,
  });
  assert.ok(countAdmitted(during.get('read')) >= 500, 'capacity is unused under overload');
  await simulateLoad({ clock, admission, arrivals: [[]], milliseconds: 100, serviceTime });
  const after = await simulateLoad({
    clock,
    admission,
    arrivals: [[{}], []],
    milliseconds: 200,
    serviceTime,
  });
  assert.equal(countAdmitted(after.get('read')), after.get('read')?.length);
  assert.equal(admission.report().queued, 0);
});

test('guards against endless refusals after a slow phase has raised the service time estimates', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock, 4);
  const short = [[{ within: 1_000 }], [], [], []];
  await simulateLoad({
    clock,
    admission,
    arrivals: short,
    milliseconds: 600,
    serviceTime: () => 600,
  });
  await clock.advance(1_000);
  const arrivals = [[{}], [], [], []];
  const fast = { clock, admission, arrivals, serviceTime: () => serviceMilliseconds };
  await simulateLoad({ ...fast, milliseconds: 1_000 });
  const outcomes = await simulateLoad({ ...fast, milliseconds: 200 });
  assert.equal(countAdmitted(outcomes.get('read')), outcomes.get('read')?.length);
});

test('guards against starvation of a kind of low weight, and shedding of the wrong kind', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock, 4);
  const outcomes = await simulateLoad({
    clock,
    admission,
    arrivals: [
      [
        { kind: 'command', weight: 5, depth: 3 },
        { kind: 'list', weight: 1 },
      ],
    ],
    milliseconds: 1_000,
    serviceTime: () => serviceMilliseconds,
  });
  const commands = countAdmitted(outcomes.get('command'));
  const lists = countAdmitted(outcomes.get('list'));
  assert.ok(lists >= 0.03 * (lists + commands), `${lists} lists beside ${commands} commands`);
  assert.ok(commands >= 5 * lists, `${commands} commands beside ${lists} lists`);
});

test('guards against full load on a cold backend server', async () => {
  const clock = new ManualClock();
  const admission = makeAdmission(clock, 12, 1_000);
  assert.equal(admission.report().limit, 3);
  await clock.advance(500);
  assert.deepEqual([admission.report().limit, admission.report().rampShare], [7, 0.625]);
  await clock.advance(500);
  assert.equal(admission.report().limit, 12);
});

test('guards against counts that drift from the requests queued and in flight', async () => {
  const action = fc.oneof(
    fc.record({ type: fc.constant('admit' as const), weight: fc.integer({ min: 1, max: 4 }) }),
    fc.record({ type: fc.constant('release' as const), index: fc.nat() }),
    fc.record({ type: fc.constant('cancel' as const), index: fc.nat() }),
    fc.record({ type: fc.constant('wait' as const), milliseconds: fc.nat(30) }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(action, { maxLength: 60 }), async (actions) => {
      const clock = new ManualClock();
      const admission = makeAdmission(clock, 3);
      const permits: Permit[] = [];
      const cancellations: AbortController[] = [];
      let settled = 0;
      const settle = (outcome: AdmissionOutcome): void => {
        settled += 1;
        if (outcome.type === 'admitted') permits.push(outcome.permit);
      };
      for (const next of actions) {
        if (next.type === 'admit') {
          const cancellation = new AbortController();
          cancellations.push(cancellation);
          const { weight } = next;
          const overrides = { kind: `kind-${weight}`, weight, signal: cancellation.signal };
          admission.admit(makeRequest(clock, overrides)).then(settle);
        }
        if (next.type === 'release') permits.splice(next.index % 3, 1)[0]?.release(5);
        if (next.type === 'cancel') cancellations[next.index % cancellations.length]?.abort();
        await clock.advance(next.type === 'wait' ? next.milliseconds : 0);
        const { inFlight, queued, limit } = admission.report();
        assert.equal(inFlight, permits.length);
        assert.equal(queued, cancellations.length - settled);
        assert.ok(inFlight <= 3, `${inFlight} in flight with 3 slots`);
        assert.ok(queued === 0 || inFlight >= limit, 'a request waits while a slot is free');
      }
      while (permits.length > 0) {
        permits.shift()?.release(5);
        await clock.advance(0);
      }
      await admission.waitUntilIdle();
      assert.equal(settled, cancellations.length);
    }),
    { seed: 11, numRuns: 60 },
  );
});
