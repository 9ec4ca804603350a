import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BackendServerEntry, LoadReport } from '@hickorybridge/types';
import type { BackendServerSelector, TryResult } from '../BackendServerSelector.js';
import { Fixture, makeReport } from './fixtures.js';

type Behaviour = (entry: BackendServerEntry) => TryResult;

function answer(changes: Partial<LoadReport>, elapsedMilliseconds: number): TryResult {
  return { type: 'answered', report: makeReport(changes), elapsedMilliseconds };
}

/** Sends requests one after the other; gives the number that each backend server got. */
function sendRequests(
  fixture: Fixture,
  selector: BackendServerSelector,
  count: number,
  behave: Behaviour,
): Map<string, number> {
  const chosen = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const entry = selector.select(fixture.request());
    assert.ok(entry !== undefined);
    chosen.set(entry.backendServerId, (chosen.get(entry.backendServerId) ?? 0) + 1);
    selector.recordSent(entry);
    fixture.advance(5);
    selector.recordResult(entry, behave(entry));
  }
  return chosen;
}

const healthy: Behaviour = () => answer({ inFlight: 3 }, 20);
const busy: Behaviour = () => answer({ inFlight: 9 }, 20);

/** Makes server-0 the best choice by its reports; the others are healthy and busy. */
function preferFirst(fixture: Fixture, selector: BackendServerSelector): void {
  sendRequests(fixture, selector, 50, busy);
  for (const entry of fixture.entries) {
    const first = entry.backendServerId === 'server-0';
    selector.recordReport(entry, makeReport({ inFlight: first ? 0 : 9 }), 20);
  }
  assert.equal(selector.select(fixture.request())?.backendServerId, 'server-0');
}

test('guards against a straggler that keeps its work, or never wins it back', () => {
  const fixture = new Fixture(8);
  const selector = fixture.makeSelector();
  preferFirst(fixture, selector);
  const slow = sendRequests(fixture, selector, 50, (entry) =>
    entry.backendServerId === 'server-0' ? answer({ serviceMilliseconds: 200 }, 200) : busy(entry),
  );
  const tried = slow.get('server-0') ?? 0;
  assert.ok(tried >= 1 && tried <= 5, `straggler got ${tried} of 50`);
  fixture.advance(2_000);
  const recovered = sendRequests(fixture, selector, 300, (entry) =>
    entry.backendServerId === 'server-0' ? healthy(entry) : answer({ inFlight: 9 }, 20),
  );
  assert.ok((recovered.get('server-0') ?? 0) >= 100, `got ${recovered.get('server-0')} of 300`);
});

test('guards against new work for a backend server that has stopped answering', () => {
  const fixture = new Fixture(8);
  const selector = fixture.makeSelector();
  preferFirst(fixture, selector);
  const silent = fixture.entries[0];
  assert.ok(silent !== undefined);
  selector.recordSent(silent);
  fixture.advance(200);
  const report = makeReport({ inFlight: 9, serviceMilliseconds: 20 });
  for (const entry of fixture.entries.slice(1)) selector.recordReport(entry, report, 20);
  const chosen = sendRequests(fixture, selector, 20, () => answer({ inFlight: 14 }, 30));
  assert.equal(chosen.get('server-0') ?? 0, 0);
});

for (const [name, failure] of [
  ['is dead although its verdict is up', { type: 'lost' } as const],
  ['fails fast', { ...answer({ serviceMilliseconds: 1 }, 1), serverError: true } as TryResult],
  ['refuses without load', { type: 'refused', report: makeReport() } as const],
] as const) {
  test(`guards against a black hole: a backend server that ${name}`, () => {
    const fixture = new Fixture(8);
    const selector = fixture.makeSelector();
    preferFirst(fixture, selector);
    const chosen = sendRequests(fixture, selector, 100, (entry) =>
      entry.backendServerId === 'server-0' ? failure : busy(entry),
    );
    const tried = chosen.get('server-0') ?? 0;
    assert.ok(tried >= 1 && tried <= 25, `got ${tried} of 100`);
  });
}

test('guards against herding of many routers with the same stale report', () => {
  const fixture = new Fixture(40);
  const chosen = new Map<string, number>();
  const routers = Array.from({ length: 60 }, (_, seed) => fixture.makeSelector('adaptive', seed));
  for (const selector of routers) {
    for (const entry of fixture.entries) {
      const inFlight = entry.backendServerId === 'server-0' ? 0 : 8;
      selector.recordReport(entry, makeReport({ inFlight }), 20);
    }
    const entry = selector.select(fixture.request());
    assert.ok(entry !== undefined);
    chosen.set(entry.backendServerId, (chosen.get(entry.backendServerId) ?? 0) + 1);
  }
  assert.ok((chosen.get('server-0') ?? 0) <= 30, `${chosen.get('server-0')} of 60 chose it`);
});

test('guards against a cold backend server that is flooded because nothing is known of it', () => {
  const fixture = new Fixture(8);
  const selector = fixture.makeSelector();
  sendRequests(fixture, selector, 50, healthy);
  fixture.replace('server-0', { incarnation: 2, rampMilliseconds: 10_000 });
  let cold = 0;
  for (let index = 0; index < 20; index += 1) {
    const entry = selector.select(fixture.request());
    assert.ok(entry !== undefined);
    selector.recordSent(entry);
    if (entry.backendServerId === 'server-0') cold += 1;
  }
  assert.ok(cold >= 1 && cold <= 7, `cold backend server got ${cold} of 20`);
});

test('guards against a hedged request that joins a queue', () => {
  const fixture = new Fixture(8);
  const selector = fixture.makeSelector();
  for (const entry of fixture.entries) {
    selector.recordReport(entry, makeReport({ inFlight: 10, queued: 2 }), 20);
  }
  assert.equal(selector.select({ ...fixture.request(), hedged: true }), undefined);
  assert.ok(selector.select(fixture.request()) !== undefined);
});

test('guards against work that stays in a saturated region, or crosses without need', () => {
  const fixture = new Fixture(8);
  const selector = fixture.makeSelector();
  const regionsFor = (own: Partial<LoadReport>): Set<string> => {
    for (const entry of fixture.entries) {
      selector.recordReport(entry, makeReport(entry.region === 'south' ? own : {}), 20);
    }
    return new Set([selector.select(fixture.request())?.region ?? '']);
  };
  assert.deepEqual(regionsFor({ inFlight: 9 }), new Set(['south']));
  assert.deepEqual(regionsFor({ inFlight: 10, queued: 40 }), new Set(['north']));
});
