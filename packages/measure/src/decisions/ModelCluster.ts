import type { RetryBudget } from '@hickorybridge/coordination';
import {
  type AdmissionController,
  createAdaptiveAdmissionController,
} from '@hickorybridge/admission';
import type { PolicyName } from '@hickorybridge/configuration';
import {
  type BackendServerSelector,
  HedgePolicy,
  createRetryBudget,
  createSelector,
} from '@hickorybridge/routing';
import type { BackendServerDirectory, BackendServerEntry, Location } from '@hickorybridge/types';
import { RandomSource } from '@hickorybridge/utils';
import { BackendServerModel } from './BackendServerModel.js';
import { type ModelDeployment, REGIONS } from './modelDeployments.js';
import { serversPerService } from './scenarios.js';
import type { VirtualTime } from './VirtualTime.js';

/** Budgets of a router for one service. */
export interface ModelBudgets {
  readonly retries: RetryBudget;
  readonly hedges: HedgePolicy;
}

/** One node: its router, and the admission and backend server on the same host. */
export interface ModelNode {
  readonly location: Location;
  readonly selector: BackendServerSelector;
  readonly budgets: readonly ModelBudgets[];
  readonly admission: AdmissionController;
  readonly backendServer: BackendServerModel;
}

/** A policy as it is measured. */
export interface MeasuredPolicy {
  readonly label: string;
  readonly policy: PolicyName;
  readonly hedged: boolean;
  /** Whether the policy treats all backend servers as equally near. */
  readonly anyRegion: boolean;
}

/** What a cluster is made of. */
export interface ClusterOptions {
  readonly time: VirtualTime;
  readonly deployment: ModelDeployment;
  readonly measured: MeasuredPolicy;
  readonly seed: number;
}

export const retryShare = 0.2;
export const hedgeShare = 0.05;
export const maximumAttempts = 3;
const subsetSize = 16;

/** Nodes of one deployment, keyed by the backend server that they announce. */
export type ModelCluster = ReadonlyMap<string, ModelNode>;

/** Makes the nodes of a deployment: one backend server of each service in each failure domain. */
export function makeCluster(options: ClusterOptions): ModelCluster {
  const { deployment } = options;
  const entries = deployment.services.map(({ name }) =>
    Array.from({ length: serversPerService }, (_, index) =>
      makeEntry(name, index, deployment.slots),
    ),
  );
  const random = new RandomSource(options.seed);
  const nodes = entries.flat().map((entry) => {
    const node = makeNode(options, entry, entries, random);
    return [entry.backendServerId, node] as const;
  });
  return new Map(nodes);
}

function makeEntry(service: string, index: number, slots: number): BackendServerEntry {
  const region = REGIONS[index < serversPerService / 2 ? 0 : 1];
  return {
    backendServerId: `${service}-${index}`,
    service,
    nodeId: `node-${service}-${index}`,
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    slots,
    rampMilliseconds: 0,
    region,
    failureDomain: `${region}-${index % 2}`,
  };
}

function makeNode(
  { time, deployment, measured }: ClusterOptions,
  entry: BackendServerEntry,
  entries: readonly (readonly BackendServerEntry[])[],
  random: RandomSource,
): ModelNode {
  const { region, failureDomain, nodeId } = entry;
  const location = { region, failureDomain };
  const seen = measured.anyRegion
    ? entries.map((list) => list.map((other) => ({ ...other, ...location })))
    : entries;
  const lists = new Map(deployment.services.map(({ name }, index) => [name, seen[index] ?? []]));
  const directory: BackendServerDirectory = {
    list: (service) => lists.get(service) ?? [],
    verdictOf: () => 'up',
    peerAddressOf: () => undefined,
  };
  const { slots, connections, linkPriceMillisecondsPerKilobyte } = deployment;
  const settings = {
    policy: measured.policy,
    subsetSize,
    linkPriceMillisecondsPerKilobyte,
    retryShare,
    hedgeShare,
    maxAttempts: maximumAttempts,
  };
  return {
    location,
    selector: createSelector({
      settings,
      context: { location, nodeId },
      directory,
      clock: time,
      random: random.fork(),
    }),
    budgets: deployment.services.map(() => ({
      retries: createRetryBudget(retryShare, time),
      hedges: new HedgePolicy({ share: hedgeShare, clock: time }),
    })),
    admission: createAdaptiveAdmissionController({
      slots,
      connections,
      rampMilliseconds: 0,
      clock: time,
    }),
    backendServer: new BackendServerModel(time, random.fork(), slots),
  };
}
