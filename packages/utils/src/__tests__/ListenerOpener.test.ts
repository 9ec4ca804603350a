import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { describe, it, type TestContext } from 'node:test';

import { systemClock } from '../clock.js';
import { ListenerOpener } from '../ListenerOpener.js';

const host = '127.0.0.1';

/** Holds an address, and creates an opener for another listener at that address. */
async function holdAddress(t: TestContext, retryMilliseconds: number) {
  const holder = createServer().listen(0, host);
  await once(holder, 'listening');
  const { port } = holder.address() as AddressInfo;
  const server = createServer();
  t.after(() => holder.close());
  t.after(() => server.close());
  const retries: string[] = [];
  const cancellation = new AbortController();
  const opener = new ListenerOpener({
    retryMilliseconds,
    clock: systemClock,
    signal: cancellation.signal,
    onRetry: (detail) => retries.push(detail),
  });
  return { address: { host, port }, cancellation, holder, opener, retries, server };
}

describe('ListenerOpener', () => {
  it('guards against a start that fails because an address is still in use', async (t) => {
    const { address, holder, opener, retries, server } = await holdAddress(t, 5000);
    setTimeout(() => holder.close(), 250);
    const opened = await opener.open(server, address);
    assert.deepEqual(opened, { ok: true, value: address });
    assert.equal(retries.length, 1);
    assert.equal(server.listenerCount('error') + server.listenerCount('listening'), 0);
  });

  it('guards against tries without an end, and a failure that does not tell what helps', async (t) => {
    const { address, opener, retries, server } = await holdAddress(t, 250);
    const startedAt = systemClock.now();
    const opened = await opener.open(server, address);
    const tookMilliseconds = systemClock.now() - startedAt;
    assert.ok(tookMilliseconds >= 250 && tookMilliseconds < 5000, `${tookMilliseconds} ms`);
    assert.equal(retries.length, 1);
    assert.match(
      opened.ok ? '' : opened.error.detail,
      new RegExp(
        `${host}:${address.port}.*EADDRINUSE.*tried \\d+ times in 0\\.\\d s; end the process`,
      ),
    );
    // The time is one for all listeners of a process.
    const second = await opener.open(createServer(), address);
    assert.ok(!second.ok && second.error.detail.includes('tried 1 times'));
  });

  it('guards against a stopping process that opens a listener', async (t) => {
    const { address, cancellation, holder, opener, server } = await holdAddress(t, 5000);
    setTimeout(() => {
      holder.close();
      cancellation.abort();
    }, 150);
    const opened = await opener.open(server, address);
    assert.ok(!opened.ok);
    assert.ok(!server.listening);
  });

  it('guards against an address that the host gets a moment later', async (t) => {
    const { address, opener, retries } = await holdAddress(t, 200);
    // An address for documentation, which no interface of this host has.
    const opened = await opener.open(createServer(), { ...address, host: '192.0.2.1' });
    assert.ok(!opened.ok);
    assert.match(opened.error.detail, /EADDRNOTAVAIL.*; give the address to a network interface/);
    assert.equal(retries.length, 1);
  });

  it('guards against tries of an address that can never be used', async (t) => {
    const { address, opener, retries } = await holdAddress(t, 60_000);
    const opened = await opener.open(createServer(), { ...address, host: 'no-such-host.invalid' });
    assert.ok(!opened.ok);
    assert.equal(retries.length, 0);
  });
});
