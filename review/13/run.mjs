// A backend leaves while the store is down. Its node acknowledges that, and only the memory of the nodes
// holds it. All nodes are killed and started again. A late heartbeat puts the backend back into use.
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { configurationOf, Deployment, Record, sleep } from '../lib-3/deployment.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const drainMilliseconds = 2500;
const stabilityMilliseconds = 4000;
/** From the start of the outage on. */
const leaveAtMilliseconds = 500;
const killAtMilliseconds = 2000;
const downMilliseconds = 500;
const outageMilliseconds = 4500;
const heartbeatArrivesAtMilliseconds = 5000;
const backendEndsAtMilliseconds = 12_000;
const requestsPerSecond = 20;
const hostName = 'cubo38.example';

const record = new Record(path.dirname(fileURLToPath(import.meta.url)));
const deployment = new Deployment(record, 'litoteca-uy');
const places = [
  ['mvd-norte', 'montevideo'],
  ['mvd-sur', 'montevideo'],
  ['minas-a', 'minas'],
  ['minas-b', 'minas'],
];
await deployment.start(
  places.map(([zone, region], index) => ({
    name: `side-${index + 1}`,
    zone,
    region,
    service: 'catalogo',
    slots: 13,
    workMilliseconds: 67,
  })),
  configurationOf({
    version: 7,
    routes: [
      {
        name: 'catalogo-lectura',
        host: hostName,
        path_prefix: '/levo940/',
        kind: 'safe',
        timeout: '800ms',
        target_latency: '300ms',
        priority: 2,
        service: 'catalogo',
        max_attempts: 2,
      },
    ],
    services: ['catalogo'],
  }),
);
if (!(await deployment.untilReady(15_000))) {
  record.write('not all nodes became ready');
  process.exit(2);
}
await sleep(10_000);

const [leaving] = deployment.hosts;
const { backend } = leaving;
const answers = [];
let isSending = true;
const clients = deployment.hosts.map(async (host) => {
  while (isSending) {
    const sent = deployment.send(host, { hostName, path: '/levo940/1' });
    sent.then((answer) => answers.push(answer));
    await sleep(1000 / requestsPerSecond);
  }
});
await sleep(2000);

const outageAt = performance.now();
const until = (milliseconds) => sleep(outageAt + milliseconds - performance.now());
if (isTroubled) {
  record.write('the store is down: it answers all calls with 503');
  deployment.store.admit = () => 503;
}
await until(leaveAtMilliseconds - 100);
backend.stopBeats();
const heartbeat = backend.makeHeartbeat('ready');
record.write(
  `backend ${backend.id} sends heartbeat ${heartbeat.status.sequence}, which is held up`,
);
await until(leaveAtMilliseconds);
const status = await backend.deregister();
const acknowledgedAt = performance.now();
record.write(`its deregister is answered with ${status}`);
if (status !== 200) process.exit(2);
if (isTroubled) {
  await until(killAtMilliseconds);
  record.write('all nodes are killed');
  await Promise.all(deployment.hosts.map((host) => deployment.killNode(host)));
  await sleep(downMilliseconds);
  for (const host of deployment.hosts) deployment.startNode(host);
  await until(outageMilliseconds);
  deployment.store.admit = () => 'ok';
  record.write('the store is back');
}
await until(heartbeatArrivesAtMilliseconds);
const late = await backend.sendHeartbeat(heartbeat);
record.write(`heartbeat ${heartbeat.status.sequence} arrives late and is answered with ${late}`);
await until(backendEndsAtMilliseconds);
isSending = false;
await Promise.all(clients);
await sleep(1000);

const inTouchAt = outageAt + outageMilliseconds + stabilityMilliseconds;
const latestAt = acknowledgedAt + drainMilliseconds;
const sentAt = new Map(answers.map((answer) => [answer.id, answer]));
const afterDrain = backend.runs.filter(({ at }) => at > latestAt);
const counted = afterDrain.filter(({ id }) => sentAt.get(id)?.sentAt > inTouchAt);
record.write(`no request may reach ${backend.id} from here on`, latestAt);
record.write('all machines are in touch, and the store is stable, from here on', inTouchAt);
for (const { id, at } of counted) {
  record.write(`request ${id} from ${sentAt.get(id).from} runs at ${backend.id}`, at);
}
record.write(
  `of ${answers.length} requests, ${afterDrain.length} requests reached ${backend.id} later than ${drainMilliseconds} ms after the acknowledgement, ${counted.length} of them were sent when all machines were in touch`,
);
deployment.close();
process.exit(counted.length > 0 ? 1 : 0);
