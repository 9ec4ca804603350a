import { silentLogger } from '@hickorybridge/logger';
import { LinkRelay } from '@hickorybridge/stand-ins';
import { composeVersion } from '@hickorybridge/store';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { EvacuationReader } from '../control/EvacuationReader.js';
import { Evacuations } from '../control/Evacuations.js';
import { sendReport, sendRequest, startFleet, waitUntil, type FleetMember } from './fleet.js';

const evacuationMilliseconds = 3000;
const watchesWaitAfterMilliseconds = 2000;
/** A backend server waits this long for an answer to its report. */
const entryWrittenWithinMilliseconds = 1000;

function startEvacuations() {
  const changes: number[] = [];
  const evacuations = new Evacuations({
    onChange: () => changes.push(evacuations.size),
    logger: silentLogger,
  });
  return { changes, evacuations };
}

const objectFor = (name: string, version: number, value = '{}') => ({
  key: `evacuations/${name}`,
  value,
  version,
});

/** Sends a request to each of the nodes, and returns how many of them were answered. */
async function countAnswered(members: readonly FleetMember[], id: string): Promise<number> {
  const statuses = await Promise.all(
    members.map(async ({ settings }, index) => {
      const { port } = settings.listeners.callers;
      return (await sendRequest(port, { path: '/reads/x', id: `${id}-${index}` })).status;
    }),
  );
  return statuses.filter((status) => status === 200).length;
}

describe('the set of evacuated failure domains', () => {
  it('start of a node: guards against requests to a domain that may have been evacuated before', () => {
    const { evacuations } = startEvacuations();
    assert.equal(evacuations.reasonToRefuse('d'), 'not-ready');
    evacuations.applyStored({ version: 5, text: '["d"]' });
    assert.equal(evacuations.reasonToRefuse('d'), 'leaving');
    assert.equal(evacuations.reasonToRefuse('e'), undefined);
  });

  it('guards against an older set from a peer or a stale watch that replaces the one in force', () => {
    const { changes, evacuations } = startEvacuations();
    assert.equal(evacuations.applyStored({ version: 5, text: '[]' }), true);
    assert.equal(evacuations.applyFromPeer({ version: 9, text: '["d"]' }, 'p'), true);
    assert.equal(evacuations.applyStored({ version: 7, text: '[]' }), false);
    // The same set at a later revision is not spread, but outdates what lies between.
    assert.equal(evacuations.applyStored({ version: 20, text: '["d"]' }), false);
    assert.equal(evacuations.applyFromPeer({ version: 15, text: '[]' }, 'p'), false);
    assert.deepEqual(changes, [0, 1]);
    assert.equal(evacuations.applyFromPeer({ version: 21, text: '{' }, 'p'), false);
    assert.equal(evacuations.has('d'), true);
  });

  it('restored store: guards against a set of a later era that is ignored for its lower revision', () => {
    const reader = new EvacuationReader(silentLogger);
    const { evacuations } = startEvacuations();
    const revision = composeVersion(1, 900);
    const before = reader.read({ revision, changed: [objectFor('d', revision)] });
    assert.equal(evacuations.applyStored(before), true);
    const lower = composeVersion(2, 850);
    const after = reader.read({ revision: lower, changed: [], complete: true });
    assert.equal(evacuations.applyStored(after), true);
    assert.equal(evacuations.has('d'), false);
  });

  it('guards against an unreadable object that hides the other evacuations', () => {
    const reader = new EvacuationReader(silentLogger);
    const changed = [objectFor('d', 3), objectFor('e', 4, ''), objectFor('f', 5, '"text"')];
    assert.equal(reader.read({ revision: 5, changed }).text, '["d"]');
    const next = reader.read({ revision: 6, changed: [], removed: ['evacuations/d'] });
    assert.equal(next.text, '[]');
  });
});

describe('evacuation of a failure domain', () => {
  // Guards against the failure EVACUATION: a request reaches the domain later than allowed.
  it('guards against requests to an evacuated domain whose node cannot reach the store', async (t) => {
    const relay = new LinkRelay({
      regions: ['store', 'apart'],
      settings: { delayMilliseconds: 0, megabitsPerSecond: 0 },
    });
    t.after(() => relay[Symbol.asyncDispose]());
    const { members, store } = await startFleet(
      t,
      ['one', 'two', 'three'],
      (name, address) =>
        name === 'three'
          ? relay.addRoute({ target: address, region: 'store', from: 'apart' })
          : address,
      { evacuationMilliseconds },
    );
    const [, , evacuated] = members;
    assert.ok(evacuated !== undefined);
    const ranAt = () => evacuated.backend.ran.length;
    for (let round = 0; round < 20; round += 1) await countAnswered(members, `before-${round}`);
    assert.ok(ranAt() > 0, 'the domain got no request before its evacuation');

    relay.setCut(true);
    // Four requests hold its slots and run on; those that wait for a slot go elsewhere.
    evacuated.backend.workMilliseconds = 600;
    const { port } = evacuated.settings.listeners.callers;
    const open = Array.from({ length: 12 }, (_, index) =>
      sendRequest(port, { path: '/reads/x', id: `open-${index}` }),
    );
    await waitUntil(() => evacuated.backend.running === 4);
    store.put('evacuations', 'd-three', {});
    const answers = await Promise.all(open);
    assert.deepEqual(new Set(answers.map(({ status }) => status)), new Set([200]));
    await sleep(evacuationMilliseconds - 600);
    const ranBefore = ranAt();
    for (let round = 0; round < 20; round += 1) {
      assert.equal(await countAnswered(members, `during-${round}`), members.length);
    }
    assert.equal(ranAt(), ranBefore);

    evacuated.backend.workMilliseconds = 5;
    store.remove('evacuations', 'd-three');
    await sleep(evacuationMilliseconds);
    for (let round = 0; round < 30; round += 1) await countAnswered(members, `after-${round}`);
    assert.ok(ranAt() > ranBefore, 'the domain got no request after the evacuation was withdrawn');
  });

  // Guards against the failure RECOVER: after a loss of power no host offers its backend server again.
  it('guards against watches that occupy all connections, so that no host writes its entry', async (t) => {
    const names = ['one', 'two', 'three'];
    const { members, store } = await startFleet(t, names, undefined, { evacuationMilliseconds });
    // Every node is a watcher, and each of its watches waits by now.
    await sleep(watchesWaitAfterMilliseconds);
    await Promise.all(members.map((member) => sendReport(member, { state: 'draining' })));
    await sleep(entryWrittenWithinMilliseconds);
    const entries = names.map((name) => store.specOf('hickorybridge-hosts', name));
    assert.deepEqual(
      entries.map((entry) => (entry as { leaving: boolean }).leaving),
      [true, true, true],
    );
  });
});
