import { systemClock } from '@hickorybridge/utils';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Dispatcher } from 'undici';

import { BackendServerExchange } from '../admitting/BackendServerExchange.js';

const controller = {
  abort: () => {},
  pause: () => {},
  resume: () => {},
} as unknown as Dispatcher.DispatchController;

describe('BackendServerExchange', () => {
  it('guards against an answer that breaks off before it is read and ends the process', async () => {
    const exchange = new BackendServerExchange(systemClock.now() + 1000, systemClock);
    exchange.onRequestStart(controller);
    exchange.onResponseStart(controller, 500, { 'content-length': '1000000' });
    exchange.onResponseData(controller, Buffer.alloc(1000));
    const outcome = await exchange.outcome;
    exchange.onResponseError(controller, new Error('the connection was reset'));
    // An uncaught error fails the test.
    await sleep(10);
    assert.ok(outcome.type === 'answered' && outcome.body.type === 'stream');
    assert.match(String(outcome.body.stream.errored), /the connection was reset/);
  });
});
