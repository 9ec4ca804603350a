import type { CommandContext, CommandDefinition } from './CommandDefinition.js';
import { isSet, jsonOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { findNode } from './findNode.js';
import { formatExplanation } from './formatExplanation.js';
import { fieldsOf, listOf } from './nodeStatus.js';
import { describeNodeError, nodeOptions, openNode } from './openNode.js';
import type { NodeAccess } from './openNode.js';
import type { OperatorsClient } from './OperatorsClient.js';

/** Shows what became of one request. */
export const explainCommand: CommandDefinition = {
  name: 'explain',
  positionals: ['REQUEST-ID'],
  description: 'Show what became of a request: its tries, refusals, backend server and outcome',
  options: [...nodeOptions, jsonOption],
  examples: ['explain montevideo-a-1-mb2k9x0f-1z --node http://127.0.0.1:8082'],
  async run(input, context) {
    const [requestId = ''] = input.positionals;
    const access = await openNode(input, context);
    const client = await findRouter(requestId, access, context);
    const answer = await client.getJson(`/explain/${encodeURIComponent(requestId)}`);
    if (!answer.ok) {
      const detail =
        answer.error.type === 'not-found'
          ? `${client.url} does not remember request ${JSON.stringify(requestId)}: it went through another node, or too long ago`
          : describeNodeError(answer.error);
      context.printError(detail);
      return ExitCode.failed;
    }
    const own = Array.isArray(answer.value) ? listOf(answer.value) : [answer.value];
    const explanations = [...own, ...(await askOthers(requestId, own, access, context))];
    if (isSet(jsonOption, input)) context.print(JSON.stringify(explanations));
    else explanations.flatMap(formatExplanation).forEach((line) => context.print(line));
    return ExitCode.done;
  },
};

/** Asks the nodes to which the router has sent the request for what their admission did. */
async function askOthers(
  requestId: string,
  explanations: readonly unknown[],
  access: NodeAccess,
  context: CommandContext,
): Promise<unknown[]> {
  const asked = new Set(explanations.map((explanation) => fieldsOf(explanation).nodeId));
  const tried = explanations.flatMap((explanation) =>
    listOf(fieldsOf(explanation).steps).map((step) => fieldsOf(step).nodeId),
  );
  const others = [...new Set(tried)].filter(
    (nodeId): nodeId is string => typeof nodeId === 'string' && !asked.has(nodeId),
  );
  const answers = await Promise.all(
    others.map(async (nodeId) => {
      const found = await findNode(nodeId, access);
      if (!found.ok) {
        context.printError(`cannot ask ${nodeId}: ${found.error}`);
        return [];
      }
      const answer = await found.value.getJson(`/explain/${encodeURIComponent(requestId)}`);
      if (answer.ok) return listOf(answer.value);
      context.printError(`${nodeId} does not explain the request: ${answer.error.detail}`);
      return [];
    }),
  );
  return answers.flat();
}

/** A request's identity starts with the name of the node that routed it. */
async function findRouter(
  requestId: string,
  access: NodeAccess,
  context: CommandContext,
): Promise<OperatorsClient> {
  const nodeId = /^(?<nodeId>.+)-[^-]+-[^-]+$/.exec(requestId)?.groups?.nodeId;
  if (nodeId === undefined) return access.first;
  const found = await findNode(nodeId, access);
  if (found.ok) return found.value;
  context.printError(`asking ${access.first.url}, because ${found.error}`);
  return access.first;
}
