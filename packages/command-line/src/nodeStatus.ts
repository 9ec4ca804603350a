import type { SocketAddress, Result } from '@hickorybridge/types';
import { fail, succeed } from '@hickorybridge/types';

/** Another node as a node's status shows it. */
export interface KnownNode {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly region: string;
  readonly failureDomain: string;
  readonly operatorsAddress: SocketAddress | undefined;
  readonly leaving: boolean;
  readonly backendServers: number;
  /** Number of its deployment when it was last heard; absent when it is not heard. */
  readonly deploymentNumber: number | undefined;
}

/** A backend server as a node's status shows it. */
export interface KnownBackendServer {
  readonly backendServerId: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly state: string;
  readonly verdict: string;
  readonly slots: number;
}

/** The parts of a node's status that the command line uses. */
export interface NodeStatus {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly region: string;
  readonly failureDomain: string;
  readonly ready: boolean;
  readonly stopping: boolean;
  readonly deployment: string | undefined;
  readonly deploymentNumber: number;
  readonly storeAvailable: boolean;
  readonly openRequests: number;
  readonly admittedRequests: number;
  readonly roles: readonly string[];
  readonly nodes: readonly KnownNode[];
  readonly backendServers: readonly KnownBackendServer[];
}

type Fields = Readonly<Record<string, unknown>>;

/** Reads a node's status; unknown members are ignored, so that older command lines keep working. */
export function parseNodeStatus(value: unknown): Result<NodeStatus, string> {
  const fields = fieldsOf(value);
  const identity = fieldsOf(fields.identity);
  const location = fieldsOf(fields.location);
  if (typeof identity.nodeId !== 'string') {
    return fail('the answer is not a status of a hickorybridge node');
  }
  return succeed({
    nodeId: identity.nodeId,
    incarnation: numberOf(identity.incarnation) ?? 0,
    region: textOf(location.region),
    failureDomain: textOf(location.failureDomain),
    ready: fields.ready === true,
    stopping: fields.stopping === true,
    deployment: typeof fields.deployment === 'string' ? fields.deployment : undefined,
    deploymentNumber: numberOf(fields.deploymentNumber) ?? 0,
    storeAvailable: fields.storeAvailable === true,
    openRequests: numberOf(fields.openRequests) ?? 0,
    admittedRequests: numberOf(fields.admittedRequests) ?? 0,
    roles: listOf(fields.roles).map(textOf),
    nodes: listOf(fields.nodes).map(parseKnownNode),
    backendServers: listOf(fields.backendServers).map(parseBackendServer),
  });
}

/** Reads a node of a status or a roster. */
export function parseKnownNode(value: unknown): KnownNode {
  const fields = fieldsOf(value);
  const servers = fields.backendServers;
  return {
    nodeId: textOf(fields.nodeId),
    incarnation: numberOf(fields.incarnation) ?? 0,
    region: textOf(fields.region),
    failureDomain: textOf(fields.failureDomain),
    operatorsAddress: parseAddress(fields.operatorsAddress),
    leaving: fields.leaving === true,
    backendServers: Array.isArray(servers) ? servers.length : (numberOf(servers) ?? 0),
    deploymentNumber: numberOf(fields.deploymentNumber),
  };
}

function parseBackendServer(value: unknown): KnownBackendServer {
  const fields = fieldsOf(value);
  return {
    backendServerId: textOf(fields.backendServerId),
    service: textOf(fields.service),
    failureDomain: textOf(fields.failureDomain),
    state: textOf(fields.state),
    verdict: textOf(fields.verdict),
    slots: numberOf(fields.slots) ?? 0,
  };
}

function parseAddress(value: unknown): SocketAddress | undefined {
  const { host, port } = fieldsOf(value);
  return typeof host === 'string' && typeof port === 'number' ? { host, port } : undefined;
}

/** Gives the members of an object; none for any other value. */
export function fieldsOf(value: unknown): Fields {
  return typeof value === 'object' && value !== null ? (value as Fields) : {};
}

/** Gives the items of an array; none for any other value. */
export function listOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Gives a number; `undefined` for any other value. */
export function numberOf(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}
