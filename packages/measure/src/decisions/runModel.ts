import { BackendServerModel } from './BackendServerModel.js';
import { type MeasuredPolicy, type ModelNode, makeCluster } from './ModelCluster.js';
import { ModelNetwork } from './ModelNetwork.js';
import { type ModelFigures, ModelOutcomes } from './ModelOutcomes.js';
import { ModelRequest, type ModelWorld } from './ModelRequest.js';
import { type ModelDeployment, REGIONS } from './modelDeployments.js';
import type { Arrival, Disturbance, Scenario } from './scenarios.js';
import { VirtualTime } from './VirtualTime.js';

/** What one run needs. */
export interface RunOptions {
  readonly deployment: ModelDeployment;
  readonly scenario: Scenario;
  readonly measured: MeasuredPolicy;
  readonly seed: number;
}

/** Runs one policy through one scenario, in virtual time. */
export async function runModel(options: RunOptions): Promise<ModelFigures> {
  const { deployment, scenario, measured, seed } = options;
  const time = new VirtualTime();
  const network = new ModelNetwork(time, deployment);
  const outcomes = new ModelOutcomes();
  const cluster = makeCluster({ time, deployment, measured, seed });
  const world = { time, network, cluster, outcomes, hedged: measured.hedged };
  for (const disturbance of scenario.disturbances) {
    time.at(disturbance.at, () => disturb(world, deployment, disturbance));
  }
  for (const arrival of scenario.arrivals) {
    time.at(arrival.at, () => arrive(world, deployment, arrival));
  }
  await time.run();
  return outcomes.figures(network.linkBytes);
}

function arrive(world: ModelWorld, deployment: ModelDeployment, arrival: Arrival): void {
  const routers = routersOf(world, REGIONS[arrival.region] ?? '');
  const router = routers[Math.floor(arrival.routerDraw * routers.length)];
  const service = deployment.services[arrival.service];
  const budgets = router?.budgets[arrival.service];
  if (router === undefined || service === undefined || budgets === undefined) {
    throw new Error(`arrival names region ${arrival.region} and service ${arrival.service}`);
  }
  new ModelRequest(world, arrival, { router, budgets, service: service.name }).start();
}

function routersOf(world: ModelWorld, region: string): ModelNode[] {
  return [...world.cluster.values()].filter((node) => node.location.region === region);
}

function disturb(world: ModelWorld, deployment: ModelDeployment, change: Disturbance): void {
  const service = deployment.services[change.service]?.name ?? '';
  const backendServer = world.cluster.get(`${service}-${change.server}`)?.backendServer;
  if (!(backendServer instanceof BackendServerModel)) return;
  backendServer.slowness = change.slowness;
  backendServer.workers = Math.max(1, Math.round(deployment.slots * change.workerShare));
  backendServer.startWaiting();
}
