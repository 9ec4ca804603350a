import type { CommandContext, CommandDefinition, OptionDefinition } from './CommandDefinition.js';
import { isSet, jsonOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { findNode } from './findNode.js';
import { parseNodeStatus } from './nodeStatus.js';
import type { OperatorsClient } from './OperatorsClient.js';
import { describeNodeError, nodeOptions, openNode } from './openNode.js';

const waitOption: OptionDefinition = {
  name: 'wait',
  description: 'Wait until the node has stopped',
};

const pollMilliseconds = 500;
/** The notice, the grace limit and some time to close, with their defaults. */
const waitLimitMilliseconds = 45_000;

/** Stops a node gracefully. */
export const drainCommand: CommandDefinition = {
  name: 'drain',
  positionals: ['NODE'],
  description: 'Stop a node gracefully: it takes no new work, ends the open requests and exits',
  options: [...nodeOptions, waitOption, jsonOption],
  examples: [
    'drain montevideo-a-1 --node http://127.0.0.1:8082',
    'drain montevideo-a-1 --node http://127.0.0.1:8082 --wait',
  ],
  async run(input, context) {
    const [nodeId = ''] = input.positionals;
    const found = await findNode(nodeId, await openNode(input, context));
    if (!found.ok) {
      context.printError(found.error);
      return ExitCode.failed;
    }
    const answer = await found.value.post('/drain');
    if (!answer.ok) {
      const unreachable = answer.error.type === 'unreachable';
      const doubt = unreachable ? '; whether it drains is unknown: look with `status`' : '';
      context.printError(`${describeNodeError(answer.error)}${doubt}`);
      return unreachable ? ExitCode.unknown : ExitCode.failed;
    }
    const json = isSet(jsonOption, input);
    if (!isSet(waitOption, input)) {
      report('draining', nodeId, json, context);
      return ExitCode.done;
    }
    const stopped = await waitUntilStopped(found.value, nodeId, json, context);
    report(stopped ? 'stopped' : 'unknown', nodeId, json, context);
    return stopped ? ExitCode.done : ExitCode.unknown;
  },
};

/** A refused connection proves that the process has closed its listener. */
async function waitUntilStopped(
  client: OperatorsClient,
  nodeId: string,
  json: boolean,
  context: CommandContext,
): Promise<boolean> {
  const end = context.clock.now() + waitLimitMilliseconds;
  while (context.clock.now() < end) {
    const answer = await client.getJson('/status');
    if (!answer.ok && answer.error.detail.includes('ECONNREFUSED')) return true;
    const status = answer.ok ? parseNodeStatus(answer.value) : undefined;
    if (!json && status?.ok === true) {
      const { openRequests, admittedRequests } = status.value;
      context.print(
        `${nodeId}: ${openRequests} open requests, ${admittedRequests} at its backend servers`,
      );
    }
    await context.clock.sleep(pollMilliseconds);
  }
  return false;
}

function report(result: string, nodeId: string, json: boolean, context: CommandContext): void {
  const sentences: Readonly<Record<string, string>> = {
    draining: `${nodeId} is draining; it exits when its open requests have ended`,
    stopped: `${nodeId} has stopped`,
    unknown: `${nodeId} was told to drain, but it cannot be confirmed that it has stopped`,
  };
  context.print(json ? JSON.stringify({ result, node: nodeId }) : (sentences[result] ?? result));
}
