// One backend server spoils a header of some of its answers.
import http from 'node:http';

import { configurationOf, runCase, sendRequest, sleep } from '../lib/deployment.mjs';

const hostName = 'cores.example';
const timeout = 1000;
/** The clients wait longer than the operator wants them to be kept waiting, and then leave. */
const deadline = 3000;
const workMilliseconds = 87;
const slots = 13;
const zones = ['norte', 'sur', 'este'];
const requestsPerSecond = 120;
const seconds = 36;
/** The share of the answers and the time as in the site file; the time comes again after a pause. */
const spoiled = { share: 0.05, from: 3000, milliseconds: 5000, every: 7000 };
/** After this long past the route's timeout a request counts as not answered. */
const lateMilliseconds = 500;

function isSpoilingTime(elapsed) {
  return elapsed >= spoiled.from && (elapsed - spoiled.from) % spoiled.every < spoiled.milliseconds;
}

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
          timeout: `${timeout}ms`,
          target_latency: '400ms',
          priority: 1,
          service: 'laboratorio',
          max_attempts: 2,
        },
      ],
    ),
  });
  const startedAt = performance.now();
  const [{ backend: faulty }] = deployment.hosts;
  if (trouble) {
    faulty.answerWith = (request, requestId, response) => {
      const isSpoiling = isSpoilingTime(performance.now() - startedAt);
      if (!isSpoiling || Math.random() >= spoiled.share) return false;
      recorder.add('spoiled', { backend: faulty.id, id: requestId });
      const text = 'done';
      const lines = [
        'HTTP/1.1 200 OK',
        ...Object.entries(faulty.headers(requestId)).map(([name, value]) => `${name}: ${value}`),
        // A space in the name.
        'server load: 1',
        `content-length: ${text.length}`,
      ];
      request.socket.write(`${lines.join('\r\n')}\r\n\r\n${text}`);
      request.socket.end();
      response.destroy();
      return true;
    };
  }
  const agent = new http.Agent({ keepAlive: true });
  const pending = [];
  for (let index = 0; index < seconds * requestsPerSecond; index += 1) {
    await sleep(startedAt + (index * 1000) / requestsPerSecond - performance.now());
    const request = sendRequest(deployment.hosts[index % zones.length], {
      agent,
      body: Buffer.from('one core'),
      deadline,
      hostName,
      leaveAfter: deadline,
      method: 'POST',
      path: `/orden/${index}`,
    });
    pending.push(request);
  }
  const outcomes = await Promise.all(pending);
  const long = outcomes.filter(({ milliseconds }) => milliseconds > timeout);
  const unanswered = long.filter(({ milliseconds }) => milliseconds > timeout + lateMilliseconds);
  const count = (status) => outcomes.filter((outcome) => outcome.status === status).length;
  return {
    broken: unanswered.length >= 8 && unanswered.length > long.length / 2,
    summary:
      `${outcomes.length} requests, ${count(200)} answered with 200, ${count(502)} with 502. ` +
      `${recorder.of('spoiled').length} answers had a spoiled header. ${long.length} requests ` +
      `lasted longer than the route's timeout; ${unanswered.length} of them had no answer ` +
      `${lateMilliseconds} ms after it, and ${count('left')} none when their clients left.`,
  };
});
