import { nearestName } from '@hickorybridge/configuration';
import { fail, succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';
import { parseNodeStatus } from './nodeStatus.js';
import type { OperatorsClient } from './OperatorsClient.js';
import { describeNodeError } from './openNode.js';
import type { NodeAccess } from './openNode.js';

/** Finds the operators' listener of a node by its name and checks that it answers as that node. */
export async function findNode(
  nodeId: string,
  access: NodeAccess,
): Promise<Result<OperatorsClient, string>> {
  const first = await readStatus(access.first);
  if (!first.ok) return first;
  if (first.value.nodeId === nodeId) return succeed(access.first);
  const known = first.value.nodes.find((node) => node.nodeId === nodeId);
  if (known === undefined) {
    const names = first.value.nodes.map((node) => node.nodeId);
    const nearest = nearestName(nodeId, names);
    const advice = nearest === undefined ? 'see `status`' : `did you mean ${nearest}?`;
    return fail(`${first.value.nodeId} knows no node ${JSON.stringify(nodeId)}; ${advice}`);
  }
  if (known.operatorsAddress === undefined) return fail(`${nodeId} gives no operators' address`);
  const client = access.at(known.operatorsAddress);
  const status = await readStatus(client);
  if (!status.ok) return fail(`${nodeId}: ${status.error}`);
  if (status.value.nodeId === nodeId) return succeed(client);
  // A loopback address of another host leads to whatever listens on this one.
  return fail(
    `${client.url} answers as ${status.value.nodeId}, not as ${nodeId}: its operators' listener is on loopback of its own host; run the command there with --node`,
  );
}

async function readStatus(client: OperatorsClient) {
  const answer = await client.getJson('/status');
  if (!answer.ok) return fail(describeNodeError(answer.error));
  const status = parseNodeStatus(answer.value);
  return status.ok ? status : fail(`${client.url}: ${status.error}`);
}
