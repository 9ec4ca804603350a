// A backend leaves, its node acknowledges that and is killed 0.2 s later. The new process of the node
// reads the list of hosts as it was some seconds ago, gets a late heartbeat, and uses the backend again.
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { configurationOf, Deployment, Record, sleep } from '../lib-3/deployment.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const staleMilliseconds = 6000;
const drainMilliseconds = 2500;
const stabilityMilliseconds = 4000;
const killAfterMilliseconds = 200;
const downMilliseconds = 300;
const heartbeatDelayMilliseconds = 2000;
const serveOnMilliseconds = 9000;
const requestsPerSecond = 20;

const record = new Record(path.dirname(fileURLToPath(import.meta.url)));
const deployment = new Deployment(record, 'litoteca-uy', { staleMilliseconds });
const hostName = 'cubo38.example';
const places = [
  ['side-1', 'mvd-norte'],
  ['side-2', 'mvd-sur'],
  ['side-3', 'mvd-norte'],
  ['side-4', 'mvd-sur'],
];
await deployment.start(
  places.map(([name, zone]) => ({
    name,
    zone,
    region: 'montevideo',
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
// The stale list has to show all hosts, and all machines have to be in touch.
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
await sleep(3000);

// The last heartbeat before the leave is held up on its way.
backend.stopBeats();
const heartbeat = backend.makeHeartbeat('ready');
record.write(
  `backend ${backend.id} sends heartbeat ${heartbeat.status.sequence}, which is held up`,
);
const heartbeatAt = performance.now();
await sleep(100);
const status = await backend.deregister();
const acknowledgedAt = performance.now();
record.write(`its deregister is answered with ${status}`);
if (status !== 200) process.exit(2);
if (isTroubled) {
  await sleep(killAfterMilliseconds);
  record.write(`node ${leaving.name} is killed`);
  await deployment.killNode(leaving);
  await sleep(downMilliseconds);
  deployment.startNode(leaving);
}
await sleep(heartbeatAt + heartbeatDelayMilliseconds - performance.now());
const late = await backend.sendHeartbeat(heartbeat);
record.write(`heartbeat ${heartbeat.status.sequence} arrives late and is answered with ${late}`);
await sleep(acknowledgedAt + serveOnMilliseconds - performance.now());
isSending = false;
await Promise.all(clients);
await sleep(1000);

const inTouchAt = leaving.startedAt + stabilityMilliseconds;
const latestAt = acknowledgedAt + drainMilliseconds;
const afterDrain = backend.runs.filter(({ at }) => at > latestAt);
const counted = afterDrain.filter(({ at }) => at > inTouchAt);
const byId = new Map(answers.map((answer) => [answer.id, answer]));
const countedOwn = counted.filter(({ id }) => {
  const answer = byId.get(id);
  return answer?.from === leaving.name && answer.sentAt > inTouchAt;
});
record.write(`all machines are in touch from here on`, inTouchAt);
record.write(`no request may reach ${backend.id} from here on`, latestAt);
for (const { id, at } of afterDrain) {
  const answer = byId.get(id);
  const inTouch = at > inTouchAt ? ', all machines in touch' : '';
  record.write(`request ${id} from ${answer?.from} runs at ${backend.id}${inTouch}`, at);
}
record.write(
  `clients sent ${answers.length} requests, ${answers.filter((each) => each.status === 200).length} were answered with 200`,
);
record.write(
  `${afterDrain.length} requests reached ${backend.id} later than ${drainMilliseconds} ms after the acknowledgement, ${counted.length} of them at machines in touch, ${countedOwn.length} sent at ${leaving.name} itself`,
);
deployment.close();
process.exit(counted.length > 0 ? 1 : 0);
