import type { SocketAddress } from '@hickorybridge/types';
import { stringify } from 'smol-toml';
import type { HostPlan } from './hostPlan.js';

/** Everything that a node's settings file needs besides its host. */
export interface NodeSettingsOptions {
  readonly host: HostPlan;
  readonly storeUrl: string;
  readonly seeds: readonly SocketAddress[];
  /** Address under which other nodes reach the peers' listener; a relay may stand before it. */
  readonly advertisedPeers?: SocketAddress | undefined;
  readonly seed: number;
  readonly logLevel: string;
}

/** Time limits in the nodes' settings, in milliseconds; short, so that traces stay short. */
const storeTimeoutMilliseconds = 1_000;
const noticeMilliseconds = 500;
const graceMilliseconds = 8_000;

/** Writes the settings file of one node. */
export function nodeSettingsText(options: NodeSettingsOptions): string {
  const { host, advertisedPeers } = options;
  const advertised =
    advertisedPeers === undefined ? {} : { advertisedPeers: formatAddress(advertisedPeers) };
  return stringify({
    node: {
      id: host.nodeId,
      region: host.region,
      failureDomain: host.failureDomain,
      seed: options.seed,
    },
    listeners: {
      callers: formatAddress(host.callers),
      announcements: formatAddress(host.announcements),
      operators: formatAddress(host.operators),
      peers: formatAddress(host.peers),
      ...advertised,
    },
    store: { url: options.storeUrl, timeoutMilliseconds: storeTimeoutMilliseconds },
    peers: { seeds: options.seeds.map(formatAddress) },
    shutdown: { noticeMilliseconds, graceMilliseconds },
    log: { level: options.logLevel, format: 'json' },
    traces: { sampleShare: 0 },
  });
}

/** Gives an address as `host:port`. */
export function formatAddress(address: SocketAddress): string {
  return `${address.host}:${address.port}`;
}
