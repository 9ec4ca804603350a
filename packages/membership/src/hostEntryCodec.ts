import type { HostEntry } from '@hickorybridge/types';

/** Keys of the hosts' entries in the store. */
export const hostPrefix = 'hickorybridge-hosts/';

export function hostKey(nodeId: string): string {
  return `${hostPrefix}${nodeId}`;
}

/** Encodes an entry as the text that the store keeps. */
export function encodeHostEntry(entry: HostEntry): string {
  const { nodeId, peerAddress, location, service, backendServerId, slots, leaving } = entry;
  return JSON.stringify({
    nodeId,
    host: peerAddress.host,
    port: peerAddress.port,
    region: location.region,
    failureDomain: location.failureDomain,
    service,
    backendServerId,
    slots,
    leaving,
  });
}

/** Decodes an entry; `undefined` when another writer has left something else there. */
export function decodeHostEntry(text: string): HostEntry | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const fields = value as Readonly<Record<string, unknown>>;
  const { nodeId, host, region, failureDomain, service, backendServerId } = fields;
  const { port, slots, leaving } = fields;
  if (typeof nodeId !== 'string' || typeof host !== 'string') return undefined;
  if (typeof region !== 'string' || typeof failureDomain !== 'string') return undefined;
  if (typeof service !== 'string' || typeof backendServerId !== 'string') return undefined;
  if (typeof port !== 'number' || typeof slots !== 'number') return undefined;
  if (typeof leaving !== 'boolean') return undefined;
  return {
    nodeId,
    peerAddress: { host, port },
    location: { region, failureDomain },
    service,
    backendServerId,
    slots,
    leaving,
  };
}
