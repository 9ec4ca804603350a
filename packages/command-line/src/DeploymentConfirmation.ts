import { parseFencedValue } from '@hickorybridge/coordination';
import type { Deployment } from '@hickorybridge/configuration';
import type { PlatformStore } from '@hickorybridge/store';
import type { SocketAddress } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import type { KnownNode } from './nodeStatus.js';
import { fieldsOf, listOf, parseKnownNode, parseNodeStatus } from './nodeStatus.js';
import type { OperatorsClient } from './OperatorsClient.js';
import { forEachNode, readEffectiveNumber } from './readEffectiveNumber.js';

/** How far a deployment has come in one failure domain. */
export interface DomainProgress {
  readonly failureDomain: string;
  /** Nodes that the rosters name. */
  readonly nodes: number;
  readonly confirmed: number;
  /** Why the others are not confirmed, one entry a node. */
  readonly unconfirmed: readonly { readonly nodeId: string; readonly reason: string }[];
}

/** What is to be confirmed and how. */
export interface ConfirmOptions {
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly deployment: Deployment;
  readonly number: number;
  readonly limitMilliseconds: number;
  /** Makes a client of a node's operators' listener. */
  readonly clientAt: (address: SocketAddress) => OperatorsClient;
  /** A node whose knowledge of the others counts as well. */
  readonly informant?: OperatorsClient | undefined;
  /** Is told of each change. */
  readonly progress: (domains: readonly DomainProgress[], milliseconds: number) => void;
}

const rosterPrefix = 'rosters/';
const pollMilliseconds = 500;

/** Tells whether a deployment is confirmed in every failure domain. */
export function isConfirmed(domains: readonly DomainProgress[]): boolean {
  return domains.every((domain) => domain.nodes > 0 && domain.confirmed === domain.nodes);
}

/** Finds out at which nodes a deployment is in effect. */
export class DeploymentConfirmation {
  readonly #options: ConfirmOptions;

  /** Incarnations that have the deployment or a newer one. It never reverts, so this is final. */
  readonly #confirmed = new Set<string>();

  readonly #reasons = new Map<string, string>();

  #nodes: readonly KnownNode[] = [];

  constructor(options: ConfirmOptions) {
    this.#options = options;
  }

  /** Asks the nodes until all are confirmed or the limit has passed. */
  async run(): Promise<DomainProgress[]> {
    const { clock, limitMilliseconds, progress } = this.#options;
    const startedAt = clock.now();
    let shown = '';
    for (;;) {
      await this.#ask();
      const domains = this.#summarize();
      const text = JSON.stringify(domains.map(({ nodes, confirmed }) => [nodes, confirmed]));
      const elapsed = clock.now() - startedAt;
      if (text !== shown) progress(domains, elapsed);
      shown = text;
      if (isConfirmed(domains) || elapsed >= limitMilliseconds) return domains;
      await clock.sleep(Math.min(pollMilliseconds, limitMilliseconds - elapsed));
    }
  }

  async #ask(): Promise<void> {
    await this.#readRosters();
    await this.#askInformant();
    const open = this.#nodes.filter((node) => !this.#confirmed.has(keyOf(node)));
    await forEachNode(open, (node) => this.#askNode(node));
  }

  async #readRosters(): Promise<void> {
    const listed = await this.#options.store.list(rosterPrefix);
    if (!listed.ok) return;
    this.#nodes = listed.value.flatMap((object) =>
      listOf(fieldsOf(parseFencedValue(object.value)?.content).nodes).map(parseKnownNode),
    );
  }

  async #askInformant(): Promise<void> {
    const answer = await this.#options.informant?.getJson('/status');
    const status = answer?.ok === true ? parseNodeStatus(answer.value) : undefined;
    if (status?.ok !== true) return;
    for (const node of status.value.nodes) {
      if ((node.deploymentNumber ?? 0) >= this.#options.number) this.#confirmed.add(keyOf(node));
    }
  }

  async #askNode(node: KnownNode): Promise<void> {
    const reason = await this.#findReason(node);
    if (reason === undefined) this.#confirmed.add(keyOf(node));
    else this.#reasons.set(keyOf(node), reason);
  }

  /** Gives why a node is not confirmed, or `undefined` when it is. */
  async #findReason(node: KnownNode): Promise<string | undefined> {
    const { clientAt, number } = this.#options;
    const answer = await readEffectiveNumber(node, clientAt);
    if (!answer.ok) return answer.error;
    return answer.value >= number ? undefined : `number ${answer.value} is in effect there`;
  }

  #summarize(): DomainProgress[] {
    const domains = this.#options.deployment.regions.flatMap((region) => region.failureDomains);
    return domains.map((failureDomain) => {
      const nodes = this.#nodes.filter((node) => node.failureDomain === failureDomain);
      const open = nodes.filter((node) => !this.#confirmed.has(keyOf(node)));
      return {
        failureDomain,
        nodes: nodes.length,
        confirmed: nodes.length - open.length,
        unconfirmed: open.map((node) => ({
          nodeId: node.nodeId,
          reason: this.#reasons.get(keyOf(node)) ?? 'it was not asked yet',
        })),
      };
    });
  }
}

function keyOf(node: KnownNode): string {
  return `${node.nodeId}/${node.incarnation}`;
}
