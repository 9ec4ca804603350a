import type { ControlHandler, HostEntry } from '@hickorybridge/types';
import { systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Leave } from '../backend/Leave.js';
import { LeaveReplicas } from '../control/LeaveReplicas.js';

const leave: Leave = { backendServerId: 'b1', startedAt: 1000 };
const listed = { nodeId: 'n1', backendServerId: 'b1', startedAt: 1000, leaving: false };
const identity = { nodeId: 'n1', incarnation: 1 };

/** Replicas of a node whose calls are recorded and answered as told. */
function createReplicas(
  entry: object | undefined,
  { answers = true, peers = ['n2', 'n3'] }: { answers?: boolean; peers?: string[] } = {},
) {
  const handlers = new Map<string, ControlHandler>();
  const calls: string[] = [];
  const returned: Leave[] = [];
  let stored = entry as HostEntry | undefined;
  const replicas = new LeaveReplicas({
    channel: {
      handle: (name, handler) => handlers.set(name, handler),
      call: async (nodeId, name) => {
        calls.push(`${name} ${nodeId}`);
        return answers ? { ok: true, value: {} } : { ok: false, error: { type: 'timeout' } };
      },
    },
    connectedPeers: () => peers.map((nodeId) => ({ nodeId })),
    storedEntry: () => stored,
    onReturned: (each) => returned.push(each),
    clock: systemClock,
  });
  const receive = (name: string, body: unknown) => handlers.get(name)?.(body, identity);
  const setEntry = (next: object | undefined) => {
    stored = next as HostEntry | undefined;
  };
  return { calls, receive, replicas, returned, setEntry };
}

describe('LeaveReplicas', () => {
  it('guards against waiting for every peer, or longer than allowed', async () => {
    const held = createReplicas(listed);
    await held.replicas.replicate(leave, 60_000);
    assert.deepEqual(held.calls, ['leaves/hold n2', 'leaves/hold n3']);
    await createReplicas(listed, { answers: false }).replicas.replicate(leave, 10);
    await createReplicas(listed, { peers: [] }).replicas.replicate(leave, 60_000);
  });

  it('guards against a leave that a restarted node does not get back', () => {
    const { calls, receive, replicas } = createReplicas(listed);
    replicas.handleConnected('n1');
    receive('leaves/hold', leave);
    replicas.prune();
    replicas.handleConnected('n1');
    replicas.handleConnected('n4');
    assert.deepEqual(calls, ['leaves/return n1']);
  });

  for (const [what, entry] of [
    ['the store holds', { ...listed, leaving: true }],
    ['a later backend server has replaced', { ...listed, backendServerId: 'b2', startedAt: 2000 }],
    ['is older than the present start under the same id', { ...listed, startedAt: 2000 }],
    ['belongs to a host that is gone', undefined],
  ] as const) {
    it(`guards against returning a leave that ${what}`, () => {
      const { calls, receive, replicas, setEntry } = createReplicas(listed);
      receive('leaves/hold', leave);
      setEntry(entry);
      replicas.handleConnected('n1');
      setEntry(listed);
      replicas.handleConnected('n1');
      assert.deepEqual(calls, []);
    });
  }

  it('guards against a malformed leave of a faulty peer', () => {
    const { receive, returned } = createReplicas(listed);
    for (const body of [undefined, 'b1', { backendServerId: 1 }, { ...leave, startedAt: 'x' }]) {
      receive('leaves/return', body);
    }
    receive('leaves/return', leave);
    assert.deepEqual(returned, [leave]);
  });
});
