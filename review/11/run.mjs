// Clients open connections and send the first request on each of them a little later, or its head in two
// parts. The node beside them stands still meanwhile. When it goes on, it answers the requests with 408, and runs them.
import { connect } from 'node:net';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { configurationOf, Deployment, Record, sleep } from '../lib-3/deployment.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const rounds = 3;
const connectionsPerRound = 8;
/** One way between a client and its node. */
const clientDelayMilliseconds = 8;
const deadlineMilliseconds = 2520;
/** From the opening of a connection to the freeze, to the request, and to the end of the freeze. */
const freezeAtMilliseconds = 2900;
const sendAtMilliseconds = 2950;
const continueAtMilliseconds = 4080;
const hostName = 'hulo84.example';
const requestLine = 'POST /xapu221/ny95/2f HTTP/1.1\r\n';
const promises = [408, 421, 429, 503];

const record = new Record(path.dirname(fileURLToPath(import.meta.url)));
const deployment = new Deployment(record, 'litoteca-uy-grown');
const places = [
  ['side-1', 'mvd-norte'],
  ['side-2', 'mvd-sur'],
  ['side-3', 'mvd-norte'],
];
await deployment.start(
  places.map(([name, zone]) => ({
    name,
    zone,
    region: 'montevideo',
    service: 'laboratorio',
    slots: 9,
    workMilliseconds: 250,
  })),
  configurationOf({
    version: 7,
    routes: [
      {
        name: 'orden-corte',
        host: hostName,
        path_prefix: '/xapu221/ny95/',
        kind: 'unsafe',
        timeout: '1500ms',
        target_latency: '1008ms',
        priority: 1,
        service: 'laboratorio',
        max_attempts: 2,
      },
    ],
    services: ['laboratorio'],
  }),
);
if (!(await deployment.untilReady(15_000))) {
  record.write('not all nodes became ready');
  process.exit(2);
}
await sleep(10_000);

/** One connection of a client, which is 8 ms away from the node. */
class Connection {
  constructor(host) {
    this.text = '';
    // The client closes its side itself, once it has read the answer.
    this.socket = connect({ host: '127.0.0.1', port: host.outbound, allowHalfOpen: true });
    this.socket.on('error', () => {});
    this.socket.on('data', (chunk) => setTimeout(() => this.#read(chunk), clientDelayMilliseconds));
    this.socket.on('end', () =>
      setTimeout(() => this.#end('the node has closed it'), clientDelayMilliseconds),
    );
  }

  /** Sends the first line of a request; the rest follows with `send`. */
  begin() {
    this.hasBegun = true;
    setTimeout(() => this.socket.write(requestLine), clientDelayMilliseconds);
  }

  /** Sends one request. Gives the status of its answer; undefined if there is none in time. */
  send(id) {
    this.id = id;
    const head = [
      `Host: ${hostName}`,
      `Request-Id: ${id}`,
      `Deadline-Ms: ${deadlineMilliseconds}`,
      'Content-Length: 9',
    ];
    record.write(
      `client sends order ${id} ${this.hasBegun ? 'with a slow head' : 'on an unused connection'}`,
    );
    setTimeout(
      () =>
        this.socket.write(
          `${this.hasBegun ? '' : requestLine}${head.join('\r\n')}\r\n\r\ncut order`,
        ),
      clientDelayMilliseconds,
    );
    setTimeout(() => this.#end('the deadline has passed'), deadlineMilliseconds);
    return new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  #read(chunk) {
    this.text += chunk.toString();
    const [head, body] = this.text.split('\r\n\r\n');
    const length = /^content-length: (\d+)/im.exec(head)?.[1];
    if (body === undefined || body.length < Number(length)) return;
    const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]);
    if (/^connection: close/im.test(head)) this.#end('its answer closes it', status);
    else this.#end('the client needs it no more', status);
  }

  #end(reason, status) {
    if (this.isEnded) return;
    this.isEnded = true;
    if (this.id !== undefined) {
      record.write(`client: order ${this.id}: ${status ?? 'no answer'}; ${reason}`);
    }
    this.resolve?.(status);
    // The end of the client's side arrives 8 ms later, too.
    setTimeout(() => this.socket.destroy(), clientDelayMilliseconds);
  }
}

const [host] = deployment.hosts;
const orders = [];
for (let round = 1; round <= rounds; round += 1) {
  const openedAt = performance.now();
  const connections = Array.from({ length: connectionsPerRound }, () => new Connection(host));
  // Half of the clients send the head in two parts, as slowly as `header_timeout` allows.
  for (const connection of connections.slice(connectionsPerRound / 2)) connection.begin();
  record.write(`client opens ${connectionsPerRound} connections to ${host.name}`);
  await sleep(openedAt + freezeAtMilliseconds - performance.now());
  if (isTroubled) {
    record.write(`node ${host.name} stands still`);
    host.process.kill('SIGSTOP');
  }
  await sleep(openedAt + sendAtMilliseconds - performance.now());
  const sent = connections.map((connection, index) => {
    const id = `order-${round}-${index + 1}`;
    return connection.send(id).then((status) => orders.push({ id, status }));
  });
  await sleep(openedAt + continueAtMilliseconds - performance.now());
  if (isTroubled) {
    host.process.kill('SIGCONT');
    record.write(`node ${host.name} goes on`);
  }
  await Promise.all(sent);
  await sleep(3000);
}

const runs = deployment.hosts.flatMap(({ backend }) =>
  backend.runs.map(({ id, at }) => ({ id, at, backend: backend.id })),
);
let broken = 0;
for (const { id, status } of orders) {
  const own = runs.filter((run) => run.id === id);
  for (const { at, backend } of own) record.write(`order ${id} runs at ${backend}`, at);
  if (promises.includes(status) && own.length > 0) {
    broken += 1;
    record.write(`order ${id} was answered with ${status} and has run`);
  }
  if (own.length > 1) {
    broken += 1;
    record.write(`order ${id} has run ${own.length} times`);
  }
}
const answered = orders.filter(({ status }) => status === 200).length;
record.write(
  `of ${orders.length} orders, ${answered} were answered with 200, ${broken} broke the rule`,
);
deployment.close();
process.exit(broken > 0 ? 1 : 0);
