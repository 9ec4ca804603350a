import type { ColdLimit } from '@hickorybridge/admission';
import { silentLogger } from '@hickorybridge/logger';
import type { BackendServerReport, HostEntry } from '@hickorybridge/types';
import { HostSpeedModel, systemClock, type Clock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';

import { BackendServerRegistry } from '../backend/BackendServerRegistry.js';

const report: BackendServerReport = {
  backendServerId: 'b1',
  service: 'desk',
  address: { host: '127.0.0.1', port: 1 },
  failureDomain: 'd',
  slots: 4,
  draining: false,
  sequence: 7,
  coldMilliseconds: 0,
  startedAt: 1000,
};

/** What the store holds after the backend server has announced that it leaves. */
const storedEntry: HostEntry = {
  nodeId: 'n1',
  peerAddress: { host: '10.0.0.1', port: 7000 },
  location: { region: 'r', failureDomain: 'd' },
  service: 'desk',
  backendServerId: 'b1',
  slots: 4,
  startedAt: 1000,
  leaving: true,
};

/** Long enough that a pause of the test does not count as half of it. */
const reportIntervalMilliseconds = 4000;

interface RegistryOptions {
  readonly clock?: Clock;
  readonly coldLimit?: ColdLimit;
  /** Whether a former node of the host may have acknowledged a leave that the store does not hold. */
  readonly wasRegistered?: boolean;
  readonly isServing?: () => Promise<boolean>;
}

/** A registry of a node that has just been started. */
function startRegistry(
  t: TestContext,
  {
    clock = systemClock,
    coldLimit,
    isServing = async () => false,
    wasRegistered = false,
  }: RegistryOptions = {},
): BackendServerRegistry {
  const registry = new BackendServerRegistry({
    isLocalReport: () => true,
    maxConnectionsOf: () => 10,
    coldLimitOf: () => coldLimit,
    drainMilliseconds: 500,
    isServing,
    reportIntervalMilliseconds,
    reasonToRefuse: () => undefined,
    onCurrentChanged: () => {},
    speed: new HostSpeedModel(),
    clock,
    logger: silentLogger,
  });
  if (!wasRegistered) registry.handleNewHost();
  t.after(() => registry[Symbol.asyncDispose]());
  return registry;
}

const isUsed = ({ current }: BackendServerRegistry) => current !== undefined && !current.leaving;

// A report may be seconds late. These tests guard against one that a restarted node takes for news.
describe('late reports after a restart of the node', () => {
  it('guards against using a backend server that left before the restart', (t) => {
    const registry = startRegistry(t);
    registry.handleStoredEntry(storedEntry);
    registry.handleReport(report);
    assert.equal(isUsed(registry), false);
  });

  it('guards against using a backend server that a current read knows as leaving and a stale list does not', (t) => {
    const registry = startRegistry(t);
    registry.handleStoredEntry(storedEntry);
    registry.handleStoredEntry({ ...storedEntry, leaving: false });
    registry.handleReport(report);
    assert.equal(isUsed(registry), false);
  });

  it('guards against using a backend server whose leave notice came first', (t) => {
    const registry = startRegistry(t);
    registry.handleLeave('b1', 1000);
    registry.handleReport(report);
    assert.equal(isUsed(registry), false);
  });

  it('guards against ignoring a new incarnation with the same id', (t) => {
    const registry = startRegistry(t);
    registry.handleLeave('b1', 1000);
    registry.handleReport({ ...report, startedAt: 2000, sequence: 1 });
    assert.equal(isUsed(registry), true);
  });

  it('guards against using a backend server that the store, read after its late report, knows as leaving', (t) => {
    const registry = startRegistry(t);
    registry.handleReport(report);
    registry.handleStoredEntry({ ...storedEntry, startedAt: 999 });
    assert.equal(isUsed(registry), true, 'the entry is that of an earlier incarnation');
    registry.handleStoredEntry({ ...storedEntry, leaving: false });
    assert.equal(isUsed(registry), true);
    registry.handleStoredEntry(storedEntry);
    assert.equal(isUsed(registry), false);
  });
});

// The store was away when a former node of the host acknowledged a leave, and nobody remembers it.
describe('reports after the start of a node whose host was registered', () => {
  const next = { ...report, sequence: 8 };

  /** A registry whose clock can be put forward to the next report. */
  const startAfterRestart = (t: TestContext) => {
    let passed = 0;
    const clock: Clock = {
      now: () => systemClock.now() + passed,
      wallTime: () => systemClock.wallTime() + passed,
      sleep: (milliseconds, signal) => systemClock.sleep(milliseconds, signal),
    };
    const awaitNextReport = () => {
      passed += reportIntervalMilliseconds;
    };
    return { awaitNextReport, registry: startRegistry(t, { clock, wasRegistered: true }) };
  };

  it('guards against using a backend server because of one report, which may be late', (t) => {
    const { awaitNextReport, registry } = startAfterRestart(t);
    registry.handleReport(report);
    awaitNextReport();
    registry.handleReport(report);
    registry.handleReport({ ...report, sequence: 6 });
    assert.equal(registry.current, undefined);
  });

  it('guards against using a backend server because of two late reports that arrive together', (t) => {
    const { awaitNextReport, registry } = startAfterRestart(t);
    registry.handleReport(report);
    registry.handleReport(next);
    assert.equal(registry.current, undefined);
    awaitNextReport();
    registry.handleReport({ ...report, sequence: 9 });
    assert.equal(isUsed(registry), true);
  });

  it('guards against a backend server that is not used after two reports in sequence', (t) => {
    const { awaitNextReport, registry } = startAfterRestart(t);
    registry.handleReport(report);
    awaitNextReport();
    registry.handleReport(next);
    assert.equal(isUsed(registry), true);
    registry.handleReport({ ...report, startedAt: 2000, sequence: 1 });
    assert.equal(registry.current?.report.startedAt, 2000, 'the node saw its predecessor');
  });

  it('guards against one report each of two starts that count as two in sequence', (t) => {
    const { awaitNextReport, registry } = startAfterRestart(t);
    registry.handleReport(report);
    awaitNextReport();
    registry.handleReport({ ...next, startedAt: 2000 });
    assert.equal(registry.current, undefined);
  });

  it('guards against a leave between two reports that is ignored', (t) => {
    for (const startedAt of [0, 1000]) {
      const { awaitNextReport, registry } = startAfterRestart(t);
      registry.handleReport(report);
      registry.handleLeave('b1', startedAt);
      awaitNextReport();
      registry.handleReport(next);
      awaitNextReport();
      registry.handleReport({ ...report, sequence: 9 });
      assert.equal(isUsed(registry), false);
      assert.equal(registry.leave?.backendServerId, 'b1');
    }
  });

  it('guards against a report of a leave that waits for a second one', (t) => {
    const registry = startRegistry(t, { wasRegistered: true });
    registry.handleReport({ ...report, draining: true });
    assert.equal(registry.leave?.backendServerId, 'b1');
  });

  it('guards against a backend server that waits for its next report although it says that it serves', async (t) => {
    const isServing = async () => true;
    const registry = startRegistry(t, { wasRegistered: true, isServing });
    registry.handleReport(report);
    await systemClock.sleep(1);
    assert.equal(isUsed(registry), true);
  });

  it('guards against using a backend server that announces its leave while it is asked', async (t) => {
    const isServing = async () => true;
    const registry = startRegistry(t, { wasRegistered: true, isServing });
    registry.handleReport(report);
    registry.handleLeave('b1', 1000);
    await systemClock.sleep(1);
    assert.equal(isUsed(registry), false);
  });

  it('guards against using a backend server that the store shows as leaving while it is asked', async (t) => {
    const isServing = async () => true;
    const registry = startRegistry(t, { wasRegistered: true, isServing });
    registry.handleReport(report);
    registry.handleStoredEntry(storedEntry);
    await systemClock.sleep(1);
    assert.equal(isUsed(registry), false);
  });

  it('guards against a new host that waits for a second report', (t) => {
    const registry = startRegistry(t, { wasRegistered: true });
    registry.handleReport(report);
    registry.handleNewHost();
    assert.equal(isUsed(registry), true);
  });
});

// The start of a backend server is read from a wall clock, which may step back between two starts.
// These tests guard against a report of the later start that counts as outdated (DRAIN).
describe('step of the clock: a backend server that starts again with an earlier start time', () => {
  const earlier = { ...report, startedAt: 400 };

  it('guards against requests to a backend server whose leave report counts as outdated', (t) => {
    const registry = startRegistry(t);
    registry.handleReport(report);
    registry.handleReport({ ...earlier, draining: true, sequence: 1 });
    assert.equal(isUsed(registry), false);
  });

  it('guards against requests to a backend server whose leave notice counts as outdated', (t) => {
    const registry = startRegistry(t);
    registry.handleReport(report);
    registry.handleLeave('b1', 400);
    assert.equal(isUsed(registry), false);
  });

  it('guards against a backend server that is never used because its reports count as outdated', (t) => {
    for (const backendServerId of ['b1', 'b2']) {
      const registry = startRegistry(t);
      registry.handleReport(report);
      registry.handleReport({ ...earlier, backendServerId, sequence: 1 });
      registry.handleReport({ ...earlier, backendServerId, sequence: 2 });
      assert.equal(registry.current?.report.startedAt, 400);
      registry.handleReport({ ...earlier, backendServerId, sequence: 3, draining: true });
      assert.equal(isUsed(registry), false);
    }
  });

  it('guards against late reports of the start before, which the new one has replaced', (t) => {
    const registry = startRegistry(t);
    registry.handleReport(report);
    registry.handleReport({ ...earlier, sequence: 1 });
    registry.handleReport({ ...earlier, sequence: 2 });
    registry.handleReport({ ...report, sequence: 8 });
    registry.handleReport({ ...report, sequence: 9, draining: true });
    registry.handleLeave('b1', 1000);
    registry.handleStoredEntry(storedEntry);
    assert.equal(registry.current?.report.startedAt, 400);
    assert.equal(isUsed(registry), true);
  });

  it('guards against a late report of an earlier start that replaces a running backend server', (t) => {
    const registry = startRegistry(t);
    registry.handleReport(report);
    registry.handleReport({ ...earlier, sequence: 90 });
    registry.handleReport({ ...report, sequence: 8 });
    registry.handleReport({ ...earlier, sequence: 91 });
    assert.equal(registry.current?.report.startedAt, 1000);
    assert.equal(isUsed(registry), true);
  });

  it('guards against losing a running backend server to a late leave of an unknown start', (t) => {
    const leave: ((registry: BackendServerRegistry) => void)[] = [
      (registry) => registry.handleLeave('b1', 400),
      (registry) => registry.handleReport({ ...earlier, draining: true, sequence: 90 }),
    ];
    for (const handleLeave of leave) {
      const registry = startRegistry(t);
      registry.handleReport(report);
      handleLeave(registry);
      registry.handleReport({ ...report, sequence: 8 });
      assert.equal(isUsed(registry), false, 'one report may be late');
      registry.handleReport({ ...report, sequence: 9 });
      assert.equal(isUsed(registry), true);
    }
  });
});

describe('cold backend servers', () => {
  const limit = { requestsPerSecond: 20, overFactor: 1.5, slack: 8, startMilliseconds: 3000 };
  const isCold = (registry: BackendServerRegistry) => (registry.load()?.rampShare ?? 1) < 1;

  it('guards against full load on a backend server that reports later that it is cold', (t) => {
    const registry = startRegistry(t, { coldLimit: limit });
    registry.handleReport(report);
    assert.equal(isCold(registry), false);
    registry.handleReport({ ...report, sequence: 8, coldMilliseconds: 2000 });
    assert.equal(isCold(registry), true);
    registry.handleReport({ ...report, sequence: 9, coldMilliseconds: 0 });
    assert.equal(isCold(registry), false);
  });

  it('start during traffic: guards against full load on a new incarnation that reports no cold time', (t) => {
    const registry = startRegistry(t, { coldLimit: limit });
    registry.handleReport(report);
    registry.handleReport({ ...report, sequence: 1, startedAt: 2000 });
    assert.equal(isCold(registry), true);
  });

  it('earlier deployments: guards against an effect of later reports without the settings', (t) => {
    const registry = startRegistry(t);
    registry.handleReport(report);
    registry.handleReport({ ...report, sequence: 8, coldMilliseconds: 2000 });
    assert.equal(isCold(registry), false);
  });
});

describe('hedged requests at the host of the backend server', () => {
  it('guards against a hedge that waits for a slot in place of other requests', async (t) => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.after(() => server.close());
    const registry = startRegistry(t);
    const { port } = server.address() as AddressInfo;
    registry.handleReport({ ...report, slots: 1, address: { host: '127.0.0.1', port } });
    const cancellation = new AbortController();
    t.after(() => cancellation.abort());
    const execute = (requestId: string, isHedge: boolean) => {
      const now = systemClock.now();
      const head = {
        ...{ requestId, service: 'desk', backendServerId: 'b1', incarnation: 0, kind: 'reads' },
        ...{ idempotent: true, weight: 1, method: 'GET', target: '/', headers: [], depth: 0 },
        ...{ deadline: now + 2000, attempts: 1, isHedge },
      };
      return registry.execute(head, { type: 'none' }, cancellation.signal);
    };
    const settled: string[] = [];
    const first = execute('first', true).then(() => settled.push('first'));
    const waiting = execute('waiting', false).then(() => settled.push('waiting'));
    const hedge = await execute('hedge', true);
    assert.equal(hedge.type === 'refused' && hedge.reason, 'queue-full');
    assert.deepEqual(settled, []);
    cancellation.abort();
    await Promise.all([first, waiting]);
  });
});
