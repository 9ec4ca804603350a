// A backend server leaves, and the node beside it is stopped and started again on its own.
import http from 'node:http';

import { configurationOf, runCase, sendRequest, sleep } from '../lib/deployment.mjs';

const hostName = 'cores.example';
const deadline = 1000;
const target = 400;
const workMilliseconds = 87;
const slots = 13;
const zones = ['norte', 'sur', 'este'];
const requestsPerSecond = 60;
const calmMilliseconds = 3000;
/** The bounds of the settings. */
const drain = 2500;
const stabilityWindow = 4000;
/** How late the last heartbeat before the leave notice arrives. */
const heartbeatDelay = 3500;
/** The backend server serves on after its notice: `drain`, and longer. */
const servesOn = 13_000;

await runCase(import.meta.dirname, async ({ deployment, recorder, trouble }) => {
  await deployment.start({
    hosts: zones.map((zone) => ({
      zone,
      region: 'costa',
      service: 'laboratorio',
      slots,
      workMilliseconds,
    })),
    configuration: configurationOf(
      7,
      ['laboratorio'],
      [
        {
          name: 'orden',
          host: hostName,
          path_prefix: '/orden/',
          kind: 'unsafe',
          timeout: `${deadline}ms`,
          target_latency: `${target}ms`,
          priority: 1,
          service: 'laboratorio',
          max_attempts: 2,
        },
      ],
    ),
  });
  const [leavingHost] = deployment.hosts;
  const stopQuestions = deployment.askReadiness();
  const { backend } = leavingHost;
  const agent = new http.Agent({ keepAlive: true });
  const pending = [];
  let index = 0;
  const traffic = setInterval(() => {
    index += 1;
    pending.push(
      sendRequest(deployment.entryHost(index), {
        agent,
        deadline,
        hostName,
        method: 'POST',
        body: Buffer.from('one core'),
        path: `/orden/${index}`,
      }),
    );
  }, 1000 / requestsPerSecond);
  await sleep(calmMilliseconds);

  // This heartbeat is sent before the notice and arrives late. No other follows the notice.
  backend.stopHeartbeats();
  const late = backend.nextHeartbeat();
  const lateArrival = sleep(heartbeatDelay).then(() => backend.call('heartbeat', late));
  const status = await backend.call('deregister', { born: backend.born });
  if (status !== 200) throw new Error(`the notice was answered with ${status}`);
  const acknowledgedAt = performance.now();
  recorder.add('leave-acknowledged', { backend: backend.id });
  if (trouble) leavingHost.end('SIGTERM');
  recorder.add('late-heartbeat', { backend: backend.id, status: await lateArrival });
  await sleep(acknowledgedAt + servesOn - performance.now());
  backend.close();
  recorder.add('backend-exits', { backend: backend.id });
  clearInterval(traffic);
  stopQuestions();
  const outcomes = await Promise.all(pending);

  const [, restart] = recorder.of('node-started').filter(({ node }) => node === leavingHost.name);
  const allInTouchFrom = Math.max(
    acknowledgedAt + drain,
    restart === undefined ? 0 : restart.at + stabilityWindow,
  );
  const runs = recorder.of('run').filter((run) => run.backend === backend.id);
  const afterDrain = runs.filter(({ at }) => at > acknowledgedAt + drain);
  const broken = runs.filter(({ at }) => at > allInTouchFrom);
  const reached = new Set(afterDrain.map(({ id }) => id));
  const lost = outcomes.filter(({ id, status: answer }) => reached.has(id) && answer !== 200);
  const count = (wanted) => outcomes.filter((outcome) => outcome.status === wanted).length;
  return {
    broken: broken.length > 0,
    summary:
      `${outcomes.length} requests, ${count(200)} answered. ${afterDrain.length} reached the leaving ` +
      `backend later than ${drain} ms after the acknowledgement, ${broken.length} of them while ` +
      `all machines were in touch. ${lost.length} of these were lost when the backend exited.`,
  };
});
