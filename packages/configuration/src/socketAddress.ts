import { isIP } from 'node:net';
import type { SocketAddress } from '@hickorybridge/types';

const maxPort = 65_535;

/** Parses `127.0.0.1:8080` or `[::1]:8080`; `undefined` when the text is no such address. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const match = /^(?:\[(?<bracketed>[^\]]+)\]|(?<plain>[^:[\]]+)):(?<port>\d{1,5})$/.exec(text);
  const host = match?.groups?.bracketed ?? match?.groups?.plain;
  if (match === null || host === undefined || isIP(host) === 0) return undefined;
  const port = Number(match.groups?.port);
  if (port > maxPort) return undefined;
  return { host, port };
}

/** Formats an address as `parseSocketAddress` reads it. */
export function formatSocketAddress(address: SocketAddress): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/** Tells whether an address can be reached only from its own host. */
export function isLoopback(address: SocketAddress): boolean {
  return address.host === '::1' || address.host.startsWith('127.');
}
