import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { LinkRelay } from '../index.js';

const delayMilliseconds = 30;

async function startEcho(t: TestContext) {
  const server = createServer((socket) => socket.pipe(socket)).listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  return { address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port } };
}

async function roundTrip(address: { host: string; port: number }, message: string) {
  const socket = connect(address);
  const start = performance.now();
  socket.write(message);
  const [received] = await once(socket, 'data');
  socket.destroy();
  return { received: String(received), milliseconds: performance.now() - start };
}

function startRelay() {
  const settings = { delayMilliseconds, megabitsPerSecond: 30 };
  return new LinkRelay({ regions: ['montevideo', 'minas'], settings });
}

describe('LinkRelay', () => {
  it('guards against traffic inside a region that is delayed or counted as link traffic', async (t) => {
    const { address } = await startEcho(t);
    await using relay = startRelay();
    const route = await relay.addRoute({ target: address, region: 'minas' });
    const near: number[] = [];
    for (let index = 0; index < 5; index += 1) {
      near.push((await roundTrip(route, 'hello from minas')).milliseconds);
    }
    // A delay of the relay is in every round trip; a busy machine delays the first ones.
    assert.ok(Math.min(...near) < delayMilliseconds, `${near.join(', ')} ms`);
    assert.equal(relay.forth.bytes + relay.back.bytes, 0);
    const far = await roundTrip(route, 'hello from montevideo');
    assert.equal(far.received, 'hello from montevideo');
    assert.ok(far.milliseconds >= 2 * delayMilliseconds - 2, `${far.milliseconds} ms`);
    assert.equal(relay.forth.bytes, 'hello from montevideo'.length);
  });

  it('guards against data that passes a cut, or is lost by it', async (t) => {
    const { address } = await startEcho(t);
    await using relay = startRelay();
    const route = await relay.addRoute({ target: address, region: 'minas', from: 'montevideo' });
    relay.back.setCut(true);
    const answer = roundTrip(route, 'ping');
    const first = await Promise.race([answer, sleep(150, 'cut')]);
    assert.equal(first, 'cut');
    relay.setCut(false);
    assert.equal((await answer).received, 'ping');
  });
});
