import { Agent, request } from 'node:http';
import { fileURLToPath } from 'node:url';

import { demandsBounds } from '../lib-2/configuration.mjs';
import { startDeployment } from '../lib-2/deployment.mjs';
import { createRecord, hasTrouble, runCase, sleep, until } from '../lib-2/fleet.mjs';

const record = createRecord(fileURLToPath(new URL('.', import.meta.url)));
const drainMilliseconds = 3000;
const stabilityMilliseconds = 4000;
const outageMilliseconds = 3500;
const leaveAfterMilliseconds = 300;
/** From the acknowledgement until the backend exits. */
const servesOnMilliseconds = 11_000;
const startMilliseconds = 10_000;
const intervalMilliseconds = 100;
/** "More than a few", although the rule names no number. */
const aFew = 5;

runCase(async ({ folder, onEnd }) => {
  const { nodes, backends, store } = await startDeployment({
    folder,
    onEnd,
    record,
    bounds: demandsBounds,
    hosts: ['zone-a', 'zone-b', 'zone-c'].map((zone) => ({ service: 'desk', zone })),
    routes: [{ name: 'reads', kind: 'safe', timeout: '1500ms', target: '500ms', service: 'desk' }],
    slots: 6,
    workOf: () => 50,
  });
  const [node] = nodes;
  const [backend] = backends;
  const agent = new Agent({ keepAlive: true });
  onEnd(() => agent.destroy());
  let count = 0;
  const send = ({ ports }) => {
    count += 1;
    const headers = { host: 'reads.example', 'request-id': `q${count}`, 'deadline-ms': '1500' };
    const outgoing = request(
      { agent, host: '127.0.0.1', port: ports.outbound, path: '/reads/x', headers },
      (answer) => answer.resume(),
    );
    outgoing.on('error', () => {});
    outgoing.end();
  };
  // Sent before the backend leaves; it arrives seconds late.
  const lateBeat = backend.delayedBeat();
  const outage = hasTrouble ? store.goDown(outageMilliseconds) : sleep(outageMilliseconds);
  record('store-down', { hasTrouble });
  await sleep(leaveAfterMilliseconds);
  const isAcknowledged = await backend.deregister();
  const acknowledgedAt = Date.now();
  record('leave', { isAcknowledged });
  if (!isAcknowledged) throw new Error('the leave notice was not acknowledged');
  // The planned stop comes in both runs: without the outage it must do no harm.
  node.signal('SIGTERM');
  await node.ended;
  node.start();
  const startedAt = Date.now();
  await outage;
  const storeIsBackAt = Date.now();
  record('store-back');
  if (!(await until(() => node.isReady(), startMilliseconds))) throw new Error('not ready');
  record('late-heartbeat', { isAcknowledged: await backend.sendBeat(lateBeat) });
  while (Date.now() < acknowledgedAt + servesOnMilliseconds) {
    for (const each of nodes) send(each);
    await sleep(intervalMilliseconds);
  }
  backend.end();
  const inTouchFrom = Math.max(startedAt, storeIsBackAt) + stabilityMilliseconds;
  const from = Math.max(acknowledgedAt + drainMilliseconds, inTouchFrom);
  const late = backend.runs.filter(({ arrivedAt }) => arrivedAt > from);
  for (const run of late) record('late', { ...run, afterLeave: run.arrivedAt - acknowledgedAt });
  for (const entry of store.entries('hickorybridge-hosts')) record('entry', entry);
  console.log(`${late.length} requests reached the backend after the bound, all machines in touch`);
  return late.length > aFew;
});
