import { fail, succeed } from '@hickorybridge/types';
import type { Result, SocketAddress } from '@hickorybridge/types';
import type { KnownNode } from './nodeStatus.js';
import { fieldsOf, parseNodeStatus } from './nodeStatus.js';
import type { OperatorsClient } from './OperatorsClient.js';

/** Bounds the connections of the command line. */
const nodesAtOnce = 32;

/** Does some work for each node, a few at a time. */
export async function forEachNode(
  nodes: readonly KnownNode[],
  work: (node: KnownNode) => Promise<void>,
): Promise<void> {
  for (let index = 0; index < nodes.length; index += nodesAtOnce) {
    await Promise.all(nodes.slice(index, index + nodesAtOnce).map(work));
  }
}

/** Asks a node for the number of the deployment in effect there, or gives why it is not known. */
export async function readEffectiveNumber(
  node: KnownNode,
  clientAt: (address: SocketAddress) => OperatorsClient,
): Promise<Result<number, string>> {
  if (node.operatorsAddress === undefined) return fail("it gives no operators' address");
  const answer = await ask(clientAt(node.operatorsAddress));
  if (!answer.ok) return answer;
  const { nodeId, deploymentNumber } = answer.value;
  if (nodeId === node.nodeId) return succeed(deploymentNumber);
  // A loopback address of another host leads to whatever listens on this one.
  return fail(`its operators' listener is on loopback of its own host (${nodeId} answers here)`);
}

/** What a node says of itself. */
interface EffectiveNumber {
  readonly nodeId: string;
  readonly deploymentNumber: number;
}

/**
 * Asks a node for the number in effect. `/status` lists the whole fleet, so it is asked only when
 * the node does not state the number in its answer to `/ready`.
 */
async function ask(client: OperatorsClient): Promise<Result<EffectiveNumber, string>> {
  const ready = await client.getJson('/ready');
  if (!ready.ok) return fail(ready.error.detail);
  const { nodeId, deploymentNumber } = fieldsOf(ready.value);
  if (typeof nodeId === 'string' && typeof deploymentNumber === 'number') {
    return succeed({ nodeId, deploymentNumber });
  }
  const answer = await client.getJson('/status');
  return answer.ok ? parseNodeStatus(answer.value) : fail(answer.error.detail);
}
