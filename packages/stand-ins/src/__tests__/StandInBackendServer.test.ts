import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { text } from 'node:stream/consumers';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { answerBody, AnswerFault, RunState, StandInBackendServer } from '../index.js';

const options = { id: 'catalogue-1', service: 'catalogue', seed: 7 };

describe('StandInBackendServer', () => {
  it('guards against an answer that cannot be told apart from that of another request', async () => {
    await using server = await StandInBackendServer.start(options);
    const headers = { 'x-mark': 'box-17', 'x-answer-bytes': '40' };
    const answer = await fetch(`${server.url}/boxes/17`, { headers });
    assert.equal(answer.headers.get('x-mark'), 'box-17');
    assert.deepEqual(Buffer.from(await answer.arrayBuffer()), answerBody('box-17', 40));
    assert.deepEqual(
      server.runs.map((run) => [run.mark, run.state]),
      [['box-17', RunState.completed]],
    );
  });

  it('guards against a cancelled request that counts as completed or keeps its slot', async () => {
    const control = { slots: 1, serviceMilliseconds: 5_000, serviceSpread: 0 };
    await using server = await StandInBackendServer.start({ ...options, control });
    const cancellation = AbortSignal.timeout(50);
    await assert.rejects(fetch(server.url, { signal: cancellation }));
    await sleep(50);
    assert.equal(server.runs[0]?.state, RunState.cancelled);
    server.change({ serviceMilliseconds: 1 });
    assert.equal((await fetch(server.url)).status, 200);
  });

  it('guards against a shed request that is recorded as a run', async () => {
    await using server = await StandInBackendServer.start({
      ...options,
      control: { shedShare: 1 },
    });
    const answer = await fetch(server.url);
    assert.equal(answer.status, 503);
    assert.equal(answer.headers.get('hickorybridge-not-run'), 'true');
    assert.equal(server.runs.length, 0);
  });

  it('guards against a doubled answer that is sent only once', async () => {
    const control = { answerFault: AnswerFault.doubled, answerFaultCount: 1 };
    await using server = await StandInBackendServer.start({ ...options, control });
    const socket = connect(Number(new URL(server.url).port), '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nHost: a\r\nX-Mark: m\r\nConnection: close\r\n\r\n');
    const received = await text(socket);
    assert.equal(received.split('HTTP/1.1 200 OK').length - 1, 2);
  });
});
