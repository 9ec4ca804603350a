import { Distance } from '@hickorybridge/types';

import type { Node, NodeParts } from './Node.js';

/** Lets the metrics read the state of the node's parts when they are rendered. */
export function registerGauges(node: Node, parts: NodeParts): void {
  const { executor, membership, observability, open, pool, routing } = parts;
  const { metrics } = observability;
  metrics.gauge('openRequests', () => open.size);
  metrics.gauge('admittedRequests', () => executor.open);
  metrics.gauge('peerConnections', () => pool.size);
  metrics.gauge('liveNodes', () => membership.nodes().length);
  metrics.gauge('deploymentNumber', () => routing.effective?.number ?? 0);
  metrics.gauge('ready', () => (node.ready() ? 1 : 0));
}

const distanceNames = {
  [Distance.sameFailureDomain]: 'same-failure-domain',
  [Distance.sameRegion]: 'same-region',
  [Distance.otherRegion]: 'other-region',
} as const;

/** Brings the counter of control bytes up to the count of the peer connections. */
export function updateControlBytes({ observability, pool }: NodeParts): void {
  for (const distance of Object.values(Distance)) {
    const counter = observability.metrics.controlBytes.at('sent', distanceNames[distance]);
    counter.add(pool.traffic.countOf(distance, 'control').bytes - counter.value);
  }
}
