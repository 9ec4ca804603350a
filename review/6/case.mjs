import { Agent, request } from 'node:http';
import { fileURLToPath } from 'node:url';

import { demandsBounds, evacuationBounds } from '../lib-2/configuration.mjs';
import { startBackend, startDeployment } from '../lib-2/deployment.mjs';
import { createRecord, hasTrouble, runCase, sleep, until } from '../lib-2/fleet.mjs';

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)));
/** How long the machines are without power: as in the closing faults of the site files. */
const downMilliseconds = 1500;
/** An application takes longer to start than the node beside it, here from its readiness on. */
const backendStartMilliseconds = 1700;
const startMilliseconds = 10_000;
const recoverMilliseconds = 15_000;
const measureMilliseconds = 5000;
const intervalMilliseconds = 100;
const quarter = 0.25;

runCase(async ({ folder, onEnd }) => {
  const places = [
    { zone: 'kigali-a', region: 'kigali' },
    { zone: 'kigali-b', region: 'kigali' },
    { zone: 'kigali-b', region: 'kigali' },
    { zone: 'rubavu-a', region: 'rubavu' },
    { zone: 'rubavu-b', region: 'rubavu' },
    { zone: 'rubavu-b', region: 'rubavu' },
  ];
  const deployment = await startDeployment({
    folder,
    onEnd,
    record,
    bounds: [...demandsBounds, ...evacuationBounds],
    hosts: places.map((place) => ({ ...place, service: 'quote-desk' })),
    routes: [
      { name: 'rates', kind: 'safe', timeout: '1500ms', target: '500ms', service: 'quote-desk' },
    ],
    slots: 6,
    workOf: () => 50,
  });
  const { nodes, backends, store } = deployment;
  const agent = new Agent({ keepAlive: true });
  onEnd(() => agent.destroy());
  let count = 0;
  const send = (node) =>
    new Promise((resolve) => {
      count += 1;
      const id = `q${count}`;
      const finish = (status) => {
        record('answer', { id, node: node.name, status });
        resolve(status === 200);
      };
      const outgoing = request({
        agent,
        host: '127.0.0.1',
        port: node.ports.outbound,
        path: '/rates/lane',
        headers: { host: 'rates.example', 'request-id': id, 'deadline-ms': '2000' },
      });
      outgoing.setTimeout(3000, () => outgoing.destroy());
      outgoing.once('error', () => finish(0));
      outgoing.once('response', (answer) => {
        answer.resume();
        answer.once('end', () => finish(answer.statusCode));
      });
      outgoing.end();
    });
  const measure = async () => {
    const sent = [];
    const end = Date.now() + measureMilliseconds;
    while (Date.now() < end) {
      for (const node of nodes) sent.push(send(node));
      await sleep(intervalMilliseconds);
    }
    const served = (await Promise.all(sent)).filter(Boolean).length;
    record('measured', { sent: sent.length, served });
    return served / sent.length;
  };
  const before = await measure();
  if (hasTrouble) {
    record('power-off');
    for (const backend of backends) backend.end();
    for (const node of nodes) node.signal('SIGKILL');
    await Promise.all(nodes.map(({ ended }) => ended));
    await sleep(downMilliseconds);
    for (const node of nodes) node.start();
    for (const node of nodes) await until(() => node.isReady(), startMilliseconds);
    await sleep(backendStartMilliseconds);
    // Each start of a backend is a new incarnation, mostly with a new id.
    for (const index of backends.keys()) await startBackend(deployment, index, `i-${index}-again`);
    record('power-on');
  }
  await sleep(recoverMilliseconds);
  const after = await measure();
  for (const entry of store.entries('hickorybridge-hosts')) record('entry', entry);
  for (const { id, beats } of backends) record('heartbeats', { id, acknowledged: beats });
  console.log(`served before: ${before.toFixed(2)}, later than recover: ${after.toFixed(2)}`);
  return before >= quarter && after < quarter;
});
