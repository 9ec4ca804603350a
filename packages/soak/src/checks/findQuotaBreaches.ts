import { meshTenants, tenantBounds, tenantOfKey, type MeshTenant } from '../mesh/meshTenants.js';
import { Rule, type Breach, type CheckResult } from './Breach.js';
import type { RequestTrace, RunIndex } from './RunIndex.js';

interface TenantRun {
  readonly sentAt: number;
  readonly arrivedAt: number;
  readonly node: string;
}

/** Rule QUOTA: requests of a tenant that are sent and arrive at a backend server in one window. */
export function findQuotaBreaches({ requests }: RunIndex): CheckResult {
  const breaches: Breach[] = [];
  const counts: Record<string, number> = {};
  for (const tenant of meshTenants) {
    const runs = [...requests.values()]
      .filter(({ sent }) => sent.key !== undefined && tenantOfKey(sent.key) === tenant)
      .flatMap(findRun)
      .sort((first, second) => first.arrivedAt - second.arrivedAt);
    if (runs.length === 0) continue;
    const allowed = allowedRuns(tenant);
    let highest = 0;
    let over = false;
    for (const { arrivedAt, node } of runs) {
      const count = countWindow(runs, arrivedAt);
      highest = Math.max(highest, count);
      // One line for each time that the limit is exceeded, at its begin.
      if (count > allowed && !over) {
        const what = `${count} requests of tenant ${tenant.name} within ${tenantBounds.quotaWindow} ms`;
        const cause = `${what}, ${Math.floor(allowed)} allowed`;
        breaches.push({ rule: Rule.quota, at: arrivedAt, node, cause });
      }
      over = count > allowed;
    }
    counts[`highestQuotaRatio.${tenant.name}`] = Math.round((highest / allowed) * 1000) / 1000;
  }
  return { breaches, counts };
}

export function allowedRuns({ burst, requestsPerSecond }: MeshTenant): number {
  const { quotaOver, quotaSlack, quotaWindow } = tenantBounds;
  return ((requestsPerSecond * quotaWindow) / 1000 + burst) * (1 + quotaOver) + quotaSlack;
}

/** A request counts once, at the first backend server that accepted it and did not give it back. */
function findRun({ arrivals, runEnds, sent }: RequestTrace): TenantRun[] {
  const run = arrivals.find(
    ({ accepted, backend }) =>
      accepted && !runEnds.some((each) => each.backend === backend && each.end === 'not-executed'),
  );
  return run === undefined ? [] : [{ sentAt: sent.at, arrivedAt: run.at, node: run.node }];
}

/** Counts the runs that were sent and arrived in the window that ends at a time. */
function countWindow(runs: readonly TenantRun[], end: number): number {
  const begin = end - tenantBounds.quotaWindow;
  return runs.filter(({ arrivedAt, sentAt }) => sentAt >= begin && arrivedAt <= end).length;
}
