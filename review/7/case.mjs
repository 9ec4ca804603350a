import { request } from 'node:http';
import { fileURLToPath } from 'node:url';

import { largeBounds } from '../lib-2/configuration.mjs';
import { startDeployment } from '../lib-2/deployment.mjs';
import { createRecord, hasTrouble, runCase, sleep } from '../lib-2/fleet.mjs';

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)));
const deadlineMilliseconds = 8000;
const workMilliseconds = 6200;
const graceMilliseconds = 10_000;
/** When the requests are sent, from the SIGTERM on. The rule excuses those up to 3 s. */
const sendAt = [500, 1500, 2500, 3400, 3600, 3800, 4000, 4200];
const excusedUntilMilliseconds = 3000;

runCase(async ({ folder, onEnd }) => {
  const deployment = await startDeployment({
    folder,
    onEnd,
    record,
    bounds: largeBounds,
    // One host in each zone: while its node stops, fewer than half of the zone's nodes are in, and
    // the clients of that machine still send to it (PROTOCOL.md, "Ingress").
    hosts: [
      { service: 'custodia', zone: 'zone-a' },
      { service: 'custodia', zone: 'zone-b' },
      { service: 'custodia', zone: 'zone-c' },
    ],
    routes: [
      { name: 'orders', kind: 'unsafe', timeout: '8000ms', target: '7000ms', service: 'custodia' },
    ],
    slots: 8,
    workOf: () => workMilliseconds,
  });
  const [node] = deployment.nodes;
  const send = (id) =>
    new Promise((resolve) => {
      const sentAt = Date.now();
      record('client-sent', { id });
      const finish = (status, signature) => {
        record('client-answer', { id, status, signature });
        resolve({ id, sentAt, answeredAt: Date.now(), status, signature });
      };
      const outgoing = request({
        agent: false,
        host: '127.0.0.1',
        port: node.ports.outbound,
        method: 'POST',
        path: '/orders/cut',
        headers: {
          host: 'orders.example',
          'request-id': id,
          'deadline-ms': String(deadlineMilliseconds),
          'content-length': 5,
        },
      });
      outgoing.once('error', (error) => finish(0, error.code));
      outgoing.once('response', (answer) => {
        answer.resume();
        answer.once('end', () => finish(answer.statusCode, answer.headers['response-signature']));
      });
      outgoing.end('order');
    });
  const stoppedAt = Date.now();
  if (hasTrouble) node.signal('SIGTERM');
  const sending = [];
  for (const at of sendAt) {
    await sleep(stoppedAt + at - Date.now());
    sending.push(send(`q${at}`));
  }
  const results = await Promise.all(sending);
  await sleep(500);
  const runs = deployment.runs();
  let lost = 0;
  for (const { id, sentAt, answeredAt, status, signature } of results) {
    const run = runs.find((each) => each.id === id && each.startedAt !== undefined);
    const isOwnAnswer = signature === undefined || status === 0;
    // The backend had not done its work: its connection was closed, or the node had passed on a
    // deadline that ends with its process instead of the client's.
    const wasAtWork =
      ['dropped', 'deadline'].includes(run?.end) && run.endedAt - run.startedAt < workMilliseconds;
    const isInTime = answeredAt < sentAt + deadlineMilliseconds - 100;
    const isExcused = sentAt <= stoppedAt + excusedUntilMilliseconds;
    const isPlanned = hasTrouble && answeredAt < stoppedAt + graceMilliseconds + 1000;
    const isLost = isOwnAnswer && wasAtWork && isInTime && isPlanned && !isExcused;
    if (isLost) lost += 1;
    record('verdict', {
      id,
      status,
      afterStop: answeredAt - stoppedAt,
      took: answeredAt - sentAt,
      end: run?.end,
      isLost,
    });
  }
  console.log(`${lost} requests were broken off while their backend was at work`);
  return lost > 0;
});
