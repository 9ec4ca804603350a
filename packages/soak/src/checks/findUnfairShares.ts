import { meshTenants, tenantOfKey, type MeshTenant } from '../mesh/meshTenants.js';
import { eventsOf, RequestEnd } from '../record/SoakEvent.js';
import { Rule, type Breach, type CheckResult } from './Breach.js';
import type { RequestTrace, RunIndex } from './RunIndex.js';

const windowMilliseconds = 10_000;
/** A share of fewer requests than this says nothing. */
const leastRequests = 10;
const leastShareOfAll = 0.25;

interface Call {
  readonly tenant: MeshTenant;
  readonly at: number;
  readonly served: boolean;
}

/** Rule FAIRNESS: tenants within their quota that are served far less often than all together. */
export function findUnfairShares(index: RunIndex): CheckResult {
  const removals = new Map(
    eventsOf(index.events, 'key-removed').map(({ at, key }) => [key, at] as const),
  );
  const calls = [...index.requests.values()].flatMap((request) => findCall(request, removals));
  const breaches: Breach[] = [];
  const counts: Record<string, number> = {};
  const first = calls[0]?.at ?? 0;
  const last = calls.at(-1)?.at ?? 0;
  for (let from = first; from + windowMilliseconds < last; from += windowMilliseconds / 2) {
    breaches.push(...judge(calls, from, from + windowMilliseconds));
  }
  breaches.push(...judge(calls, first, last));
  for (const tenant of meshTenants) {
    const own = calls.filter((call) => call.tenant === tenant);
    if (own.length > 0)
      counts[`servedShare.${tenant.name}`] = Math.round(shareOf(own) * 1000) / 1000;
  }
  return { breaches, counts };
}

/** Requests that their caller abandoned, or that carry a removed key, say nothing about shares. */
function findCall({ ended, sent }: RequestTrace, removals: ReadonlyMap<string, number>): Call[] {
  const tenant = sent.key === undefined ? undefined : tenantOfKey(sent.key);
  if (tenant === undefined || ended === undefined || sent.key === undefined) return [];
  const removed = sent.at >= (removals.get(sent.key) ?? Infinity);
  if (removed || sent.abandoned === true) return [];
  return [
    { tenant, at: sent.at, served: ended.end === RequestEnd.answered && ended.status === 200 },
  ];
}

function judge(calls: readonly Call[], from: number, to: number): Breach[] {
  const all = calls.filter(({ at }) => at >= from && at <= to);
  return meshTenants.flatMap((tenant) => {
    const own = all.filter((call) => call.tenant === tenant);
    const quota = (tenant.requestsPerSecond * (to - from)) / 1000 + tenant.burst;
    if (own.length < leastRequests || own.length > quota) return [];
    const [share, shareOfAll] = [shareOf(own), shareOf(all)];
    if (share >= leastShareOfAll * shareOfAll) return [];
    const what = `tenant ${tenant.name} was served ${share.toFixed(3)} of ${own.length} requests`;
    const cause = `${what} in ${Math.round(to - from)} ms, all tenants ${shareOfAll.toFixed(3)}`;
    return [{ rule: Rule.fairness, at: to, cause }];
  });
}

function shareOf(calls: readonly Call[]): number {
  return calls.filter(({ served }) => served).length / calls.length;
}
