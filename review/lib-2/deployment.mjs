// A small deployment: a store, and for each host a node of the program and a backend.
import { Backend } from './backend.mjs';
import { configurationOf } from './configuration.mjs';
import { freePorts, hostPorts, Node, sleep, until } from './fleet.mjs';
import { Store } from './store.mjs';

const startMilliseconds = 20_000;
/** As long as the stability window: from then on all machines are in touch. */
const settleMilliseconds = 5000;

/** Starts the backend of a host, with a new id where an earlier one has ended. */
export async function startBackend({ nodes, backends, work }, index, id) {
  const { ports, record, service, zone } = nodes[index];
  const backend = new Backend({
    id,
    service,
    zone,
    port: ports.backend,
    control: ports.control,
    record,
    ...work,
  });
  backends[index] = backend;
  await backend.start();
}

/** Starts a deployment and waits until all machines are in touch. */
export async function startDeployment({ folder, onEnd, record, hosts, routes, bounds, ...work }) {
  const services = [...new Set(hosts.map(({ service }) => service))];
  const store = new Store();
  const [storePort] = await freePorts(1);
  await store.start(storePort);
  onEnd(() => store.stop());
  store.put('config/main', configurationOf({ services, routes }));
  const nodes = [];
  const backends = [];
  const deployment = { store, nodes, backends, work };
  for (const [index, { service, zone, region = 'region-a' }] of hosts.entries()) {
    const ports = await hostPorts();
    const node = new Node({
      name: `host-${index}`,
      zone,
      region,
      service,
      bounds,
      storePort,
      ports,
      folder,
      record,
    });
    onEnd(() => node.kill());
    node.start();
    nodes.push(node);
    onEnd(() => backends[index]?.end());
    await startBackend(deployment, index, `i-${index}`);
  }
  const isStarted = await until(async () => {
    const ready = await Promise.all(nodes.map((node) => node.isReady()));
    const listed = store.entries('hickorybridge-hosts').length;
    return ready.every(Boolean) && listed === hosts.length;
  }, startMilliseconds);
  if (!isStarted) throw new Error('the deployment did not start');
  await sleep(settleMilliseconds);
  record('started', { hosts: hosts.length });
  return { ...deployment, runs: () => backends.flatMap((backend) => backend.runs) };
}
