// A small deployment: a store, and for each host a node of the program and a backend.
import { Backend } from './backend.mjs';
import { configurationOf } from './configuration.mjs';
import { freePorts, hostPorts, Node, sleep, until } from './fleet.mjs';
import { Store } from './store.mjs';

const startMilliseconds = 20_000;
/** As long as the stability window: from then on all machines are in touch. */
const settleMilliseconds = 5000;

/** Starts a deployment with one host in each zone, and waits until all machines are in touch. */
export async function startDeployment({
  folder,
  onEnd,
  record,
  hosts,
  routes,
  bounds,
  slots,
  ...work
}) {
  const services = [...new Set(hosts.map(({ service }) => service))];
  const store = new Store();
  const [storePort] = await freePorts(1);
  await store.start(storePort);
  onEnd(() => store.stop());
  store.put('config/main', configurationOf({ services, routes }));
  const nodes = [];
  const backends = [];
  for (const [index, { service, zone }] of hosts.entries()) {
    const ports = await hostPorts();
    const node = new Node({
      name: `host-${index}`,
      zone,
      region: 'region-a',
      service,
      bounds,
      storePort,
      ports,
      folder,
      record,
    });
    onEnd(() => node.kill());
    node.start();
    const backend = new Backend({
      id: `i-${index}`,
      service,
      zone,
      slots,
      port: ports.backend,
      control: ports.control,
      record,
      ...work,
    });
    onEnd(() => backend.end());
    await backend.start();
    nodes.push(node);
    backends.push(backend);
  }
  const isStarted = await until(async () => {
    const ready = await Promise.all(nodes.map((node) => node.isReady()));
    const listed = store.entries('hickorybridge-hosts').length;
    return ready.every(Boolean) && listed === hosts.length;
  }, startMilliseconds);
  if (!isStarted) throw new Error('the deployment did not start');
  await sleep(settleMilliseconds);
  record('started', { hosts: hosts.length });
  return { store, nodes, backends, runs: () => backends.flatMap((backend) => backend.runs) };
}
