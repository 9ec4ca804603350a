import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { describe, it } from 'node:test';
import { createTracer, formatTraceparent, noTracer, parseTraceparent } from '../index.js';

const traceId = '0af7651916cd43dd8448eb211c80319c';
const parent = `00-${traceId}-b7ad6b7169203331-00`;
const where = { nodeId: 'a', region: 'east', failureDomain: 'east-a' };

interface ExportedSpans {
  readonly resourceSpans: readonly {
    readonly scopeSpans: readonly {
      readonly spans: readonly { readonly name: string; readonly traceId: string }[];
    }[];
  }[];
}

describe('traceparent', () => {
  it('guards against accepting malformed headers', () => {
    const sampled = parent.replace(/00$/, '01');
    assert.equal(formatTraceparent(parseTraceparent(sampled) ?? assert.fail()), sampled);
    assert.equal(parseTraceparent(`${sampled.replace(/^00/, '01')}-more`)?.sampled, true);
    const malformed = [
      '',
      sampled.toUpperCase(),
      `${sampled}-more`,
      sampled.replace(/^00/, 'ff'),
      sampled.replace(traceId, '0'.repeat(32)),
      sampled.replace('b7ad6b7169203331', '0'.repeat(16)),
    ];
    for (const header of malformed) assert.equal(parseTraceparent(header), undefined, header);
  });
});

describe('tracer', () => {
  it('guards against spans, and the memory of their libraries, without an exporter', async () => {
    assert.equal(await createTracer({ ...where, sampleShare: 1 }), noTracer);
  });

  it('guards against losing errors and keeping all else of unsampled traces', async () => {
    const bodies: ExportedSpans[] = [];
    const server = createServer((request, response) => {
      text(request)
        .then((body) => bodies.push(JSON.parse(body) as ExportedSpans))
        .finally(() => response.writeHead(200).end('{}'));
    }).listen(0, '127.0.0.1');
    await new Promise((resolve) => {
      server.once('listening', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const otlpUrl = `http://127.0.0.1:${port}/v1/traces`;
    const tracer = await createTracer({ ...where, otlpUrl, sampleShare: 0 });
    const begin = (service: string, name: 'route' | 'try', traceparent = parent) =>
      tracer.start({ name, service, kind: 'create', traceparent }) ?? assert.fail();
    // The first span is the slowest one so far; the second is neither slow nor an error.
    const slow = begin('hire', 'route');
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    slow.end();
    begin('hire', 'route').end();
    const failed = begin('hire', 'try');
    assert.equal(failed.traceparent.slice(0, 36), parent.slice(0, 36));
    assert.match(failed.traceparent, /-00$/);
    failed.end({ error: 'connection-lost' });
    const sampled = begin('fleet', 'route', parent.replace(/00$/, '01'));
    assert.match(sampled.traceparent, /-01$/);
    sampled.end();
    await tracer[Symbol.asyncDispose]();
    server.close();
    const spans = bodies.flatMap((body) =>
      body.resourceSpans.flatMap((resource) => resource.scopeSpans.flatMap((scope) => scope.spans)),
    );
    assert.deepEqual(spans.map((span) => span.name).sort(), ['route', 'route', 'try']);
    assert.ok(spans.every((span) => span.traceId === traceId));
  });
});
