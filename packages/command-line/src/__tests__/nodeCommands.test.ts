import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, it } from 'node:test';
import type { TestContext } from 'node:test';
import { FakeNode } from './FakeNode.js';
import { MemoryStore } from './MemoryStore.js';
import { runInMemory } from './runInMemory.js';

const run = (...words: string[]) => runInMemory(new MemoryStore(), ...words);

function statusOf(nodeId: string, nodes: readonly object[] = []) {
  return {
    identity: { nodeId, incarnation: 1 },
    location: { region: 'east', failureDomain: 'east-a' },
    ready: true,
    deployment: 'test',
    deploymentNumber: 3,
    storeAvailable: true,
    roles: [],
    nodes,
    backendServers: [],
  };
}

/** Starts two nodes of which the first knows the second and one more that answers as the second. */
async function startNodes(t: TestContext) {
  const first = await FakeNode.start();
  const second = await FakeNode.start();
  t.after(() => first[Symbol.asyncDispose]());
  t.after(() => second[Symbol.asyncDispose]());
  const entry = (nodeId: string, node: FakeNode) => ({
    nodeId,
    failureDomain: 'east-b',
    operatorsAddress: node.address,
  });
  first.answers['GET /status'] = statusOf('a', [entry('b', second), entry('c', second)]);
  second.answers['GET /status'] = { ...statusOf('b'), deploymentNumber: 2 };
  second.answers['GET /ready'] = { ready: true };
  return { first, second, node: ['--node', first.url] };
}

describe('commands that ask nodes', () => {
  it('guards against a status that calls old or unheard nodes current', async (t) => {
    const { node } = await startNodes(t);
    const own = await run('status', ...node);
    assert.match(own.output, /east-b +2 +0 +0 +0 +0 +2$/m);
    const all = await run('status', ...node, '--all');
    assert.match(all.output, /east-b +2 +0 +0 +0 +1 +1$/m);
    assert.match(all.errors, /c cannot be asked: .*loopback of its own host \(b answers here\)/);
  });

  it('guards against draining a node other than the one that was named', async (t) => {
    const { second, node } = await startNodes(t);
    second.answers['POST /drain'] = { draining: true };
    assert.match((await run('drain', 'bb', ...node)).errors, /knows no node "bb"; did you mean/);
    const wrong = await run('drain', 'c', ...node);
    assert.equal(wrong.code, 1);
    assert.match(wrong.errors, /answers as b, not as c/);
    assert.equal((await run('drain', 'b', ...node)).code, 0);
    const waiting = await run('drain', 'b', ...node, '--wait');
    assert.equal(waiting.code, 4, 'a node that still answers was reported as stopped');
    await second[Symbol.asyncDispose]();
    assert.equal((await run('drain', 'b', ...node, '--wait')).code, 1);
  });

  it('guards against an explanation without the admission side or from the wrong node', async (t) => {
    const { first, second, node } = await startNodes(t);
    const head = { requestId: 'a-1-1', service: 's', kind: 'k', startedAt: 0, droppedSteps: 0 };
    const step = { type: 'try', atMilliseconds: 1, backendServerId: 'x', nodeId: 'b' };
    const end = { outcome: 'unknown', problem: 'connection-lost', milliseconds: 9 };
    first.answers['GET /explain/a-1-1'] = [
      { ...head, nodeId: 'a', side: 'router', steps: [step], end },
    ];
    second.answers['GET /explain/a-1-1'] = [{ ...head, nodeId: 'b', side: 'admission', steps: [] }];
    const { output } = await run('explain', 'a-1-1', ...node);
    assert.match(output, /request a-1-1 at a \(router\): s\/k/);
    assert.match(output, /1\.0 ms {2}try backendServerId=x nodeId=b/);
    assert.match(output, /9\.0 ms {2}ended unknown, connection-lost/);
    assert.match(output, /at b \(admission\).*\n.*still open/);
    assert.match((await run('explain', 'b-1-1', ...node)).errors, /does not remember request/);
  });

  it('guards against a missing key that looks like an outage', async (t) => {
    const { first, node } = await startNodes(t);
    first.key = 'secret';
    const refused = await run('status', ...node);
    assert.equal(refused.code, 1);
    assert.match(refused.errors, /needs the shared key: add --key-file FILE/);
    const directory = mkdtempSync(path.join(tmpdir(), 'hickorybridge-'));
    const file = path.join(directory, 'key');
    writeFileSync(file, 'secret\n');
    assert.equal((await run('status', ...node, '--key-file', file)).code, 0);
    rmSync(directory, { recursive: true });
  });
});
