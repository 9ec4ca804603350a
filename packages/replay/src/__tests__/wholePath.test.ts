import assert from 'node:assert/strict';
import { request } from 'node:http';
import path from 'node:path';
import { text } from 'node:stream/consumers';
import { test } from 'node:test';
import type { IncomingMessage } from 'node:http';

import { DeploymentCluster, type Host } from '../index.js';

const deploymentFile = path.resolve(import.meta.dirname, '../../../../examples/litoteca.toml');
const timeoutMilliseconds = 60_000;

interface CallOptions {
  readonly method: string;
  readonly target: string;
  readonly service: string;
  readonly headers?: Record<string, string>;
}

async function call(host: Host, options: CallOptions): Promise<[IncomingMessage, string]> {
  const { method, target, service, headers } = options;
  const answer = await new Promise<IncomingMessage>((resolve, reject) => {
    const sent = request(`${host.callersUrl}${target}`, {
      method,
      headers: { host: `${service}.litoteca.example`, ...headers },
    });
    sent.once('response', resolve).once('error', reject).end();
  });
  return [answer, await text(answer)];
}

test(
  'a read and a cut order are answered through nodes of another service',
  { timeout: timeoutMilliseconds },
  async () => {
    await using cluster = await DeploymentCluster.start({
      deploymentFile,
      seed: 1,
      profile: { backendServersPerService: 2 },
    });
    const entrance = cluster.host('custody-1');
    const [read, readBody] = await call(entrance, {
      method: 'GET',
      target: '/boxes/12',
      service: 'catalogue',
      headers: { 'x-mark': 'read' },
    });
    assert.equal(read.statusCode, 200);
    assert.equal(read.headers['hickorybridge-outcome'], 'answered');
    assert.match(readBody, /^read;/);
    const [order] = await call(cluster.host('catalogue-1'), {
      method: 'POST',
      target: '/cut-orders',
      service: 'laboratory',
      headers: { 'x-mark': 'cut', 'idempotency-key': 'order-1' },
    });
    assert.equal(order.headers['hickorybridge-outcome'], 'answered');
    const runs = cluster.hosts.flatMap((host) => host.runs());
    const cuts = runs.filter((run) => run.requestId === order.headers['hickorybridge-request-id']);
    assert.equal(cuts.length, 1, 'the cut order ran exactly once');
    const [unknown, problem] = await call(entrance, {
      method: 'GET',
      target: '/nothing',
      service: 'nobody',
    });
    assert.equal(unknown.headers['hickorybridge-outcome'], 'not-run');
    assert.equal(JSON.parse(problem).type, 'urn:hickorybridge:problem:no-such-service');
  },
);
