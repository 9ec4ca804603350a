import { setTimeout as sleep } from 'node:timers/promises';
import type { MeasuringBudget } from '@hickorybridge/configuration';
import type { DeploymentCluster } from '../cluster/DeploymentCluster.js';
import type { Host } from '../cluster/Host.js';
import { getJson } from '../cluster/httpJson.js';

/** Part of a node's `/status` that the probe reads. */
interface NodeStatus {
  readonly ready: boolean;
  readonly deploymentNumber: number;
  readonly identity: { readonly incarnation: number };
  readonly bytesSent: number;
}

interface Traffic {
  readonly first: number;
  last: number;
}

/** Time between two looks at a node, in milliseconds. */
const periodMilliseconds = 400;

const millisecondsPerSecond = 1_000;

/** Looks at the status of every node from time to time while a trace is replayed. */
export class NodeProbe {
  readonly #cluster: DeploymentCluster;

  readonly #stop = new AbortController();

  readonly #highest = new Map<string, number>();

  /** Control bytes of each run of each node, by region. */
  readonly #traffic = new Map<string, Map<string, Traffic>>();

  readonly #start = performance.now();

  /** Times at which a node showed a lower configuration number than before. */
  configurationOlder = 0;

  #loop: Promise<void>;

  constructor(cluster: DeploymentCluster) {
    this.#cluster = cluster;
    this.#loop = this.#run();
  }

  async stop(): Promise<void> {
    this.#stop.abort();
    await this.#loop;
  }

  /** Gives the lowest configuration number of all nodes now; 0 when a node does not tell. */
  async lowestConfiguration(): Promise<number> {
    const numbers = await Promise.all(
      this.#cluster.hosts.map(async (host) => (await this.#look(host))?.deploymentNumber ?? 0),
    );
    return Math.min(...numbers);
  }

  /** Names the regions in which the nodes sent more control bytes a second than the budget. */
  regionsOverBudget(budget: MeasuringBudget): string[] {
    const seconds = (performance.now() - this.#start) / millisecondsPerSecond;
    return [...this.#traffic].flatMap(([region, nodes]) => {
      const bytes = [...nodes.values()].reduce((sum, { first, last }) => sum + last - first, 0);
      const rate = Math.round(bytes / seconds);
      if (rate <= budget.regionBytesPerSecond) return [];
      return [
        `measuring in ${region}: ${rate} B/s, expected at most ${budget.regionBytesPerSecond}`,
      ];
    });
  }

  async #run(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await Promise.all(this.#cluster.hosts.map((host) => this.#look(host)));
      await sleep(periodMilliseconds, undefined, { signal: this.#stop.signal }).catch(() => {});
    }
  }

  async #look(host: Host): Promise<NodeStatus | undefined> {
    if (!host.node.running) return undefined;
    try {
      const status = await getJson<NodeStatus>(`${host.operatorsUrl}/status`);
      this.#note(host, status);
      return status;
    } catch {
      // A stopped or frozen node does not answer; that is no finding of this probe.
      return undefined;
    }
  }

  #note(host: Host, status: NodeStatus): void {
    const { nodeId, region } = host.plan;
    const highest = this.#highest.get(nodeId) ?? 0;
    if (status.ready && status.deploymentNumber < highest) this.configurationOlder += 1;
    this.#highest.set(nodeId, Math.max(highest, status.deploymentNumber));
    const nodes = this.#traffic.get(region) ?? new Map<string, Traffic>();
    this.#traffic.set(region, nodes);
    const run = `${nodeId}/${status.identity.incarnation}`;
    const traffic = nodes.get(run) ?? { first: status.bytesSent, last: status.bytesSent };
    traffic.last = Math.max(traffic.last, status.bytesSent);
    nodes.set(run, traffic);
  }
}
