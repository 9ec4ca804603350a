import type { HostEntry } from '@hickorybridge/types';
import { isIP } from 'node:net';

/** Keys of the hosts' entries in the store. */
export const hostPrefix = 'hickorybridge-hosts/';

export function hostKey(nodeId: string): string {
  return `${hostPrefix}${nodeId}`;
}

/** Encodes an entry as the text that the store keeps. */
export function encodeHostEntry(entry: HostEntry): string {
  const { nodeId, peerAddress, location, service, backendServerId, slots, startedAt, leaving } =
    entry;
  return JSON.stringify({
    nodeId,
    host: peerAddress.host,
    port: peerAddress.port,
    region: location.region,
    failureDomain: location.failureDomain,
    service,
    backendServerId,
    slots,
    startedAt,
    leaving,
  });
}

const maxNameCharacters = 512;
const maxPort = 65_535;
/** Bounds what one entry can make the other nodes expect of its host. */
const maxSlots = 100_000;

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
  const { port, slots, startedAt, leaving } = fields;
  if (!isName(nodeId) || !isName(region) || !isName(failureDomain)) return undefined;
  if (!isName(service) || !isName(backendServerId)) return undefined;
  if (typeof host !== 'string' || isIP(host) === 0) return undefined;
  if (!isWholeNumber(port, maxPort) || !isWholeNumber(slots, maxSlots)) return undefined;
  if (typeof leaving !== 'boolean') return undefined;
  return {
    nodeId,
    peerAddress: { host, port },
    location: { region, failureDomain },
    service,
    backendServerId,
    slots,
    // Absent in entries of older versions.
    ...(Number.isSafeInteger(startedAt) ? { startedAt: startedAt as number } : {}),
    leaving,
  };
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= maxNameCharacters;
}

/** Whether a value is a whole number from 1 to `max`. */
function isWholeNumber(value: unknown, max: number): value is number {
  return Number.isInteger(value) && (value as number) >= 1 && (value as number) <= max;
}
