import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { StreamedBody } from '../StreamedBody.js';

describe('StreamedBody', () => {
  it('guards against a second reader, which would get a part of the body only', () => {
    const stream = new PassThrough();
    const body = new StreamedBody(stream);
    assert.equal(body.available, true);
    assert.equal(body.take(), stream);
    assert.equal(body.available, false);
    assert.equal(body.take(), undefined);
  });

  it('guards against a reader of a body that has broken off, and against an uncaught error', async () => {
    const stream = new PassThrough();
    const body = new StreamedBody(stream);
    stream.destroy(new Error('the caller has left'));
    await sleep(5);
    assert.equal(body.available, false);
    assert.equal(body.take(), undefined);
  });
});
