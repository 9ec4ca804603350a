import { silentLogger } from '@hickorybridge/logger';
import { ConnectionAccount, systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { describe, it, type TestContext } from 'node:test';

import { CallersListener } from '../callers/CallersListener.js';
import { clientLimits } from '../callers/clientLimits.js';
import type { CallerOutcome, CallerRequest } from '../routing/CallerRequest.js';
import type { RequestRouter } from '../routing/RequestRouter.js';
import { freePorts, host, waitUntil } from './fleet.js';

const graceMilliseconds = 5000;

type Route = (request: CallerRequest) => Promise<CallerOutcome>;

/** A listener over a stub router, and a connection whose caller reads when it is told to. */
async function startListener(t: TestContext, route: Route) {
  let endsAt: number | undefined;
  const router = {
    configuration: { limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536 } },
    callerTimeoutEstimator: { estimateElapsed: () => 0 },
    chooseService: () => 'desk',
    expectedWork: () => 10,
    findRoute: () => ({ name: 'reads', timeoutMilliseconds: 5000, targetMilliseconds: 500 }),
    route,
  } as unknown as RequestRouter;
  const listener = new CallersListener({
    router,
    service: () => 'desk',
    isNestedCall: () => false,
    isBelowRepeat: () => false,
    endsAt: () => endsAt,
    onFinished: () => {},
    stallDetector: { recordActivity: () => {}, unreadSince: () => systemClock.now() },
    account: new ConnectionAccount({ ...clientLimits({}), clock: systemClock }),
    clock: systemClock,
    logger: silentLogger,
  });
  const [port = 0] = await freePorts(1);
  await listener.listen({ host, port });
  t.after(() => listener[Symbol.asyncDispose]());
  const open = async () => {
    const socket = connect(port, host).pause();
    t.after(() => socket.destroy());
    await once(socket, 'connect');
    return socket;
  };
  const stop = () => {
    endsAt = systemClock.now() + graceMilliseconds;
  };
  return { listener, open, stop };
}

function headOf(id: string): string {
  return `GET /reads/${id} HTTP/1.1\r\nhost: a.example\r\nrequest-id: ${id}\r\n\r\n`;
}

function answer(bytes: number): CallerOutcome {
  const body = { type: 'whole', data: Buffer.alloc(bytes, 'a') } as const;
  return { type: 'answered', head: { status: 200, headers: [] }, body };
}

/** Reads until the condition holds or the connection is closed. */
function readUntil(socket: Socket, condition: (text: string) => boolean): Promise<string> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const finish = () => resolve(Buffer.concat(chunks).toString('latin1'));
    socket.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      if (condition(Buffer.concat(chunks).toString('latin1'))) finish();
    });
    socket.on('error', () => {});
    socket.once('close', finish);
    socket.resume();
  });
}

describe('connections of callers while a node stops', () => {
  // Node.js takes a connection for idle once its answer has ended, and closes it with what is unsent.
  it('guards against an answer that the stop cuts off while its caller is slow to read it', async (t) => {
    const bytes = 8 * 1024 * 1024;
    const { listener, open } = await startListener(t, () => Promise.resolve(answer(bytes)));
    const socket = await open();
    socket.write(headOf('q1'));
    await systemClock.sleep(200);
    listener.stopAccepting();
    let received = 0;
    socket.on('data', (chunk: Buffer) => {
      received += chunk.length;
    });
    socket.on('error', () => {});
    socket.resume();
    await waitUntil(() => received > bytes || socket.destroyed);
    assert.ok(received > bytes, `the connection was closed after ${received} bytes`);
    await waitUntil(() => listener.open === 0);
  });

  // The request that a caller sends next on such a connection crosses the end of the process.
  it('guards against an answer during the stop that keeps its connection open', async (t) => {
    let settle: (outcome: CallerOutcome) => void = () => {};
    const outcome = new Promise<CallerOutcome>((resolve) => {
      settle = resolve;
    });
    const { listener, open, stop } = await startListener(t, () => outcome);
    const socket = await open();
    socket.write(headOf('q1'));
    await waitUntil(() => listener.open === 1);
    stop();
    settle(answer(10));
    assert.match(await readUntil(socket, (read) => read.endsWith('aaa')), /connection: close/i);
  });

  // The connection ends after the first answer, so that the second one has no way to the caller.
  it('guards against passing on a pipelined request behind an answer that ends the connection', async (t) => {
    const routed: string[] = [];
    const { open, stop } = await startListener(t, async ({ requestId }) => {
      routed.push(requestId);
      await systemClock.sleep(50);
      return answer(10);
    });
    const socket = await open();
    stop();
    socket.write(headOf('q1') + headOf('q2'));
    const text = await readUntil(socket, () => false);
    assert.equal(text.split('HTTP/1.1 200').length - 1, 1);
    assert.deepEqual(routed, ['q1']);
  });

  // Such a request counted as open for ever, and each stop took the whole grace time.
  it('guards against a pipelined request that stays open after its caller has left', async (t) => {
    const { listener, open } = await startListener(t, async () => {
      await systemClock.sleep(100);
      return answer(10);
    });
    const socket = await open();
    socket.write(headOf('q1') + headOf('q2'));
    await waitUntil(() => listener.open > 0);
    socket.destroy();
    await systemClock.sleep(300);
    assert.equal(listener.open, 0);
  });

  it('guards against pipelined requests that are answered out of turn or not at all', async (t) => {
    const { open } = await startListener(t, async ({ requestId }) => {
      await systemClock.sleep(requestId === 'q1' ? 50 : 0);
      const body = { type: 'whole', data: Buffer.from(`answer-${requestId};`) } as const;
      return { type: 'answered', head: { status: 200, headers: [] }, body };
    });
    const socket = await open();
    socket.write(headOf('q1') + headOf('q2') + headOf('q3'));
    const text = await readUntil(socket, (read) => read.includes('answer-q3;'));
    assert.deepEqual(text.match(/answer-q\d/g), ['answer-q1', 'answer-q2', 'answer-q3']);
  });

  it('guards against a request that is half received when the stop begins and gets no answer', async (t) => {
    const { listener, open, stop } = await startListener(t, () => Promise.resolve(answer(10)));
    const halves = ['GET /reads/1 HTTP/1.1\r\nhost: a.ex', 'ample\r\nrequest-id: q1\r\n\r\n'];
    const fresh = await open();
    const kept = await open();
    kept.write(headOf('q0'));
    await once(kept, 'readable');
    kept.read();
    for (const socket of [fresh, kept]) socket.write(halves[0] ?? '');
    await systemClock.sleep(50);
    stop();
    listener.stopAccepting();
    for (const socket of [fresh, kept]) {
      socket.write(halves[1] ?? '');
      const text = await readUntil(socket, () => false);
      assert.match(text, /HTTP\/1\.1 503 [^]*connection: close/i);
    }
  });

  it('guards against a request on a kept connection that is reset in the last moment before the end', async (t) => {
    const { listener, open, stop } = await startListener(t, () => Promise.resolve(answer(10)));
    const socket = await open();
    socket.write(headOf('q0'));
    await once(socket, 'readable');
    socket.read();
    stop();
    socket.write(headOf('q1'));
    listener.stopAccepting();
    assert.match(await readUntil(socket, () => false), /HTTP\/1\.1 503 /);
  });
});
