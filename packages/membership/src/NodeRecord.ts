import type { AcceptedDeployment } from '@hickorybridge/configuration';
import type { StoredObject } from '@hickorybridge/store';
import {
  type Announcement,
  BackendServerState,
  type Location,
  type SocketAddress,
  Verdict,
} from '@hickorybridge/types';

/** A backend server as the record of its node carries it. */
export interface AnnouncedBackendServer {
  readonly backendServerId: string;
  readonly service: string;
  readonly state: BackendServerState;
  readonly slots: number;
  readonly rampMilliseconds: number;
}

/** What all nodes know about a node. */
export interface NodeRecord extends Location {
  readonly nodeId: string;
  readonly incarnation: number;
  /** Rises with each change; a newer incarnation wins over any sequence of an older one. */
  readonly sequence: number;
  readonly peerAddress: SocketAddress;
  readonly operatorsAddress: SocketAddress;
  /** The whole node takes no new work. */
  readonly leaving: boolean;
  readonly backendServers: readonly AnnouncedBackendServer[];
}

/** Verdicts of one service by backend server, and the store's version of the object. */
export interface ServiceVerdicts {
  readonly service: string;
  readonly version: number;
  readonly verdicts: ReadonlyMap<string, Verdict>;
}

/** Verdicts as they travel: the text of the store's object. */
export interface VerdictObject {
  readonly service: string;
  readonly version: number;
  readonly text: string;
}

/** A value that nodes spread among themselves. */
export type SharedValue =
  | { readonly type: 'node'; readonly record: NodeRecord }
  | { readonly type: 'deployment'; readonly deployment: AcceptedDeployment }
  | { readonly type: 'verdicts'; readonly object: VerdictObject }
  | { readonly type: 'object'; readonly object: StoredObject };

/** Key of the deployment among the shared values. */
export const deploymentKey = 'deployment';

/** Gives the key of a node's record. */
export function nodeKey(nodeId: string): string {
  return `node/${nodeId}`;
}

/** Gives the key of a service's verdicts. */
export function verdictsKey(service: string): string {
  return `verdicts/${service}`;
}

/** Gives the key of an object of another component among the shared values. */
export function objectKey(storeKey: string): string {
  return `object/${storeKey}`;
}

/** Makes the part of a record that describes one backend server. */
export function describeBackendServer(
  announcement: Announcement,
  state: BackendServerState,
): AnnouncedBackendServer {
  const { backendServerId, service, slots, rampMilliseconds } = announcement;
  return { backendServerId, service, state, slots, rampMilliseconds };
}

/** Checks a shared value from a peer; `undefined` when it is malformed or under a wrong key. */
export function parseSharedValue(key: string, value: unknown): SharedValue | undefined {
  const { type, record, deployment, object } = fieldsOf(value);
  if (type === 'node') {
    const parsed = parseNodeRecord(record);
    return parsed !== undefined && nodeKey(parsed.nodeId) === key
      ? { type, record: parsed }
      : undefined;
  }
  if (type === 'deployment') {
    const parsed = parseDeployment(deployment);
    return parsed !== undefined && key === deploymentKey ? { type, deployment: parsed } : undefined;
  }
  if (type === 'verdicts') {
    const { service, version, text } = fieldsOf(object);
    if (typeof service !== 'string' || typeof text !== 'string') return undefined;
    if (!isCount(version) || verdictsKey(service) !== key) return undefined;
    return { type, object: { service, version, text } };
  }
  if (type === 'object') {
    const { key: storeKey, version, value: text } = fieldsOf(object);
    if (typeof storeKey !== 'string' || typeof text !== 'string') return undefined;
    if (!isCount(version) || objectKey(storeKey) !== key) return undefined;
    return { type, object: { key: storeKey, version, value: text } };
  }
  return undefined;
}

/** Checks the record of a node; `undefined` when it is malformed. */
export function parseNodeRecord(value: unknown): NodeRecord | undefined {
  const fields = fieldsOf(value);
  const { nodeId, incarnation, sequence, region, failureDomain } = fields;
  if (typeof nodeId !== 'string' || typeof region !== 'string') return undefined;
  if (typeof failureDomain !== 'string') return undefined;
  if (!isCount(incarnation) || !isCount(sequence)) return undefined;
  const peerAddress = parseAddress(fields.peerAddress);
  const operatorsAddress = parseAddress(fields.operatorsAddress);
  if (peerAddress === undefined || operatorsAddress === undefined) return undefined;
  const backendServers = Array.isArray(fields.backendServers) ? fields.backendServers : [];
  return {
    nodeId,
    incarnation,
    sequence,
    region,
    failureDomain,
    peerAddress,
    operatorsAddress,
    leaving: fields.leaving === true,
    backendServers: backendServers.flatMap((item) => parseBackendServer(item) ?? []),
  };
}

/** Checks an accepted deployment; `undefined` when it is malformed. */
export function parseDeployment(value: unknown): AcceptedDeployment | undefined {
  const { number, applyId, acceptedAt, text } = fieldsOf(value);
  if (!isCount(number) || number < 1) return undefined;
  if (typeof applyId !== 'string' || typeof text !== 'string') return undefined;
  if (typeof acceptedAt !== 'number') return undefined;
  return { number, applyId, acceptedAt, text };
}

/** Reads a deployment from the store's text; `undefined` when it is malformed. */
export function parseDeploymentText(text: string): AcceptedDeployment | undefined {
  return parseDeployment(parseJson(text));
}

/** Reads verdicts, a JSON object from backend server to verdict; unknown verdicts are left out. */
export function parseVerdicts(object: VerdictObject): ServiceVerdicts {
  const known: readonly unknown[] = Object.values(Verdict);
  const verdicts = new Map<string, Verdict>();
  for (const [backendServerId, verdict] of Object.entries(fieldsOf(parseJson(object.text)))) {
    if (known.includes(verdict)) verdicts.set(backendServerId, verdict as Verdict);
  }
  return { service: object.service, version: object.version, verdicts };
}

function parseBackendServer(value: unknown): AnnouncedBackendServer | undefined {
  const { backendServerId, service, state, slots, rampMilliseconds } = fieldsOf(value);
  if (typeof backendServerId !== 'string' || typeof service !== 'string') return undefined;
  if (state !== BackendServerState.serving && state !== BackendServerState.leaving) {
    return undefined;
  }
  if (typeof slots !== 'number' || typeof rampMilliseconds !== 'number') return undefined;
  return { backendServerId, service, state, slots, rampMilliseconds };
}

function parseAddress(value: unknown): SocketAddress | undefined {
  const { host, port } = fieldsOf(value);
  return typeof host === 'string' && isCount(port) ? { host, port } : undefined;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function fieldsOf(value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : {};
}
