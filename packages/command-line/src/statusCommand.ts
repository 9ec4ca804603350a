import type { CommandContext, CommandDefinition, OptionDefinition } from './CommandDefinition.js';
import { isSet, jsonOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { formatTable } from './formatTable.js';
import type { KnownNode, NodeStatus } from './nodeStatus.js';
import { fieldsOf, parseNodeStatus } from './nodeStatus.js';
import { describeNodeError, nodeOptions, openNode } from './openNode.js';
import type { NodeAccess } from './openNode.js';
import { forEachNode, readEffectiveNumber } from './readEffectiveNumber.js';

const allOption: OptionDefinition = {
  name: 'all',
  description: 'Ask the nodes that this one does not hear as well',
};

const maxReasons = 5;

/** What the nodes that were asked have said. */
interface AskedNodes {
  /** All nodes with the numbers that are now known; absent when no node was asked. */
  readonly nodes?: readonly KnownNode[];
  /** Why a node's number is not known. */
  readonly reasons: readonly string[];
  /** Members of the JSON object. */
  readonly members: object;
}

const nobodyAsked: AskedNodes = { reasons: [], members: {} };

/** Shows what one node knows of itself and of the others. */
export const statusCommand: CommandDefinition = {
  name: 'status',
  positionals: [],
  description: 'Show what a node knows: itself, the deployment, failure domains, backend servers',
  options: [...nodeOptions, allOption, jsonOption],
  examples: [
    'status --node http://127.0.0.1:8082',
    'status --node http://127.0.0.1:8082 --all',
    'status --node http://10.0.0.7:8082 --key-file shared.key --json',
  ],
  async run(input, context) {
    const access = await openNode(input, context);
    const answer = await access.first.getJson('/status');
    if (!answer.ok) {
      context.printError(describeNodeError(answer.error));
      return ExitCode.failed;
    }
    const status = parseNodeStatus(answer.value);
    if (!status.ok) {
      context.printError(`${access.first.url}: ${status.error}`);
      return ExitCode.failed;
    }
    const asked = isSet(allOption, input) ? await askOthers(status.value, access) : nobodyAsked;
    if (isSet(jsonOption, input)) {
      context.print(JSON.stringify({ ...fieldsOf(answer.value), ...asked.members }));
    } else {
      printStatus({ ...status.value, nodes: asked.nodes ?? status.value.nodes }, context);
      asked.reasons.slice(0, maxReasons).forEach((reason) => context.printError(reason));
      const more = asked.reasons.length - maxReasons;
      if (more > 0) context.printError(`and ${more} more nodes cannot be asked`);
    }
    return ExitCode.done;
  },
};

/** Asks each node whose number the first node does not know. */
async function askOthers(status: NodeStatus, access: NodeAccess): Promise<AskedNodes> {
  const numbers = new Map<string, number>();
  const reasons: string[] = [];
  const unheard = status.nodes.filter((node) => node.deploymentNumber === undefined);
  await forEachNode(unheard, async (node) => {
    const number = await readEffectiveNumber(node, access.at);
    if (number.ok) numbers.set(node.nodeId, number.value);
    else reasons.push(`${node.nodeId} cannot be asked: ${number.error}`);
  });
  const nodes = status.nodes.map((node) => ({
    ...node,
    deploymentNumber: node.deploymentNumber ?? numbers.get(node.nodeId),
  }));
  return { nodes, reasons, members: { asked: Object.fromEntries(numbers), notAsked: reasons } };
}

function printStatus(status: NodeStatus, context: CommandContext): void {
  const { nodeId, region, failureDomain, ready, stopping } = status;
  const readiness = ready ? 'ready' : 'not ready';
  const state = stopping ? 'stopping' : readiness;
  const roles = status.roles.length === 0 ? 'none' : status.roles.join(', ');
  context.print(`node ${nodeId} in ${failureDomain} (${region}): ${state}; roles: ${roles}`);
  context.print(
    status.deploymentNumber === 0
      ? 'no deployment is in effect at this node'
      : `deployment ${status.deployment ?? ''} number ${status.deploymentNumber} is in effect at this node`,
  );
  context.print(`store ${status.storeAvailable ? 'available' : 'not available'} to this node`);
  context.print(
    `${status.openRequests} open requests of callers, ${status.admittedRequests} requests at the backend servers of this host`,
  );
  context.print('');
  formatTable(domainRows(status)).forEach((line) => context.print(line));
  if (status.backendServers.length === 0) return;
  context.print('');
  formatTable(serviceRows(status)).forEach((line) => context.print(line));
}

function domainRows(status: NodeStatus): (string | number)[][] {
  const domains = new Map<string, KnownNode[]>();
  for (const node of status.nodes) {
    domains.set(node.failureDomain, [...(domains.get(node.failureDomain) ?? []), node]);
  }
  const rows = [...domains].sort().map(([domain, nodes]) => {
    const heard = nodes.filter(
      (node) => node.deploymentNumber !== undefined || node.nodeId === status.nodeId,
    );
    const current = heard.filter(
      (node) => (node.deploymentNumber ?? status.deploymentNumber) >= status.deploymentNumber,
    );
    return [
      domain,
      nodes.length,
      nodes.filter((node) => node.leaving).length,
      nodes.reduce((sum, node) => sum + node.backendServers, 0),
      current.length,
      heard.length - current.length,
      nodes.length - heard.length,
    ];
  });
  const head = `number ${status.deploymentNumber}`;
  return [
    ['failure domain', 'nodes', 'leaving', 'backend servers', head, 'older', 'not heard'],
    ...rows,
  ];
}

function serviceRows(status: NodeStatus): (string | number)[][] {
  const services = [...new Set(status.backendServers.map((server) => server.service))].sort();
  const rows = services.map((service) => {
    const servers = status.backendServers.filter((server) => server.service === service);
    return [
      service,
      servers.length,
      servers.filter((server) => server.state === 'leaving').length,
      servers.filter((server) => server.verdict === 'down').length,
      servers.reduce((sum, server) => sum + server.slots, 0),
    ];
  });
  return [['service', 'backend servers', 'leaving', 'down by verdict', 'slots'], ...rows];
}
