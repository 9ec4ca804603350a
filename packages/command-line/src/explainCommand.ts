import type { CommandContext, CommandDefinition } from './CommandDefinition.js';
import { isSet, jsonOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { findNode } from './findNode.js';
import { formatExplanation } from './formatExplanation.js';
import { listOf } from './nodeStatus.js';
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
    if (isSet(jsonOption, input)) context.print(JSON.stringify(answer.value));
    else printExplanations(answer.value, context);
    return ExitCode.done;
  },
};

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

function printExplanations(value: unknown, context: CommandContext): void {
  const explanations = Array.isArray(value) ? listOf(value) : [value];
  explanations.flatMap(formatExplanation).forEach((line) => context.print(line));
}
