import { tenantBounds, tenantOfKey } from '../mesh/meshTenants.js';
import { eventsOf } from '../record/SoakEvent.js';
import { Rule, type Breach, type CheckResult } from './Breach.js';
import type { Disruptions } from './disruptions.js';
import type { RequestTrace, RunIndex } from './RunIndex.js';

/** Rule KEY: requests that reach a backend server without a valid key, with it, or as another's. */
export function findKeyBreaches(index: RunIndex, disruptions: Disruptions): CheckResult {
  const removals = new Map(
    eventsOf(index.events, 'key-removed').map(({ at, key }) => [key, at] as const),
  );
  const breaches: Breach[] = [];
  let sentWithRemovedKey = 0;
  for (const request of index.requests.values()) {
    const { arrivals, sent } = request;
    const removedAt = sent.key === undefined ? undefined : removals.get(sent.key);
    const refusedFrom =
      removedAt === undefined ? Infinity : findRefusal(disruptions, sent.node, removedAt, sent.at);
    if (sent.at > refusedFrom) sentWithRemovedKey += 1;
    for (const arrival of arrivals) {
      const cause = describeArrival(request, arrival, refusedFrom);
      if (cause === undefined) continue;
      const { at, node } = arrival;
      breaches.push({ rule: Rule.key, at, node, requestId: sent.id, cause });
    }
  }
  return { breaches, counts: removals.size === 0 ? {} : { sentWithRemovedKey } };
}

function describeArrival(
  { sent }: RequestTrace,
  arrival: RequestTrace['arrivals'][number],
  refusedFrom: number,
): string | undefined {
  if (arrival.keySeen === true) return 'a backend server received a key';
  // Calls of backend servers carry no key, and runs without tenants have none.
  if (sent.key === undefined) return undefined;
  const tenant = tenantOfKey(sent.key)?.name;
  if (tenant === undefined) return 'a request without a key of a tenant reached a backend server';
  if (sent.at > refusedFrom) {
    const late = Math.round(sent.at - refusedFrom);
    return `a request with a removed key, sent ${late} ms after the bound, reached a backend server`;
  }
  if (arrival.tenant === tenant) return undefined;
  return `Tenant was "${arrival.tenant ?? ''}" instead of "${tenant}"`;
}

/**
 * Gives the time from which a node has to refuse a removed key. A paused node cannot learn of the
 * removal, so its bound begins at the end of the pause.
 */
function findRefusal(
  { unplanned }: Disruptions,
  node: string,
  removedAt: number,
  sentAt: number,
): number {
  const pauses = (unplanned.get(node) ?? []).filter(
    ({ from, to }) =>
      to > from && from < removedAt + tenantBounds.revoke && to > removedAt && from < sentAt,
  );
  return Math.max(removedAt, ...pauses.map(({ to }) => to)) + tenantBounds.revoke;
}
