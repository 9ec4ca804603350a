import {
  decodeRouteConfiguration,
  decodeTenantRows,
  findIgnoredFields,
  findRepeatedNames,
  type FieldPath,
  type TenantRow,
} from '@hickorybridge/platform';
import { RouteTable } from '@hickorybridge/routing';
import type { Route, RouteConfiguration } from '@hickorybridge/types';

import { FindingKind, type Finding } from './Finding.js';

/** The findings in a configuration, and its decoded form if nodes accept it. */
export interface CheckedConfiguration {
  readonly findings: readonly Finding[];
  readonly configuration: RouteConfiguration | undefined;
}

/** Checks the text of a configuration with the decoder and the route table of the nodes. */
export function findProblems(text: string): CheckedConfiguration {
  const decoded = decodeRouteConfiguration(text);
  if (!decoded.ok) {
    const { detail, path } = decoded.error;
    return { findings: [{ kind: FindingKind.error, path, detail }], configuration: undefined };
  }
  const configuration = decoded.value;
  const tenants = decodeTenantRows(text);
  const ignored = findIgnoredFields(text).map((path) =>
    finding(FindingKind.ignoredValue, path, 'has a value of another type and is ignored'),
  );
  const repeated = findRepeatedNames(text).map((path) =>
    finding(FindingKind.neverMatches, path, 'is the name of an earlier row, too'),
  );
  return {
    configuration,
    findings: [
      ...ignored,
      ...repeated,
      ...findUnmatched(configuration),
      ...findContradictions(configuration, tenants),
      ...findSharedKeys(tenants),
      ...findUnknownServices(configuration),
    ],
  };
}

function finding(kind: FindingKind, path: FieldPath, detail: string): Finding {
  return { kind, path, detail };
}

const routeField = (index: number, field: string) => ['routes', 'rows', index, field] as const;
const tenantField = (index: number, field: string) => ['tenants', 'rows', index, field] as const;

/** Finds routes that no request reaches, by asking the route table of the nodes. */
function findUnmatched({ routes }: RouteConfiguration): Finding[] {
  const table = new RouteTable(routes);
  return routes.flatMap((route, index) => {
    const { host, name, pathPrefix } = route;
    const found: Finding[] = [];
    const report = (field: string, detail: string) =>
      found.push(finding(FindingKind.neverMatches, routeField(index, field), detail));
    const matched = table.find(host, pathPrefix);
    if (!pathPrefix.startsWith('/')) {
      report('path_prefix', `"${pathPrefix}" matches no path, since paths begin with a slash`);
    } else if (matched === undefined) {
      report('path_prefix', `"${pathPrefix}" matches no path, since a query is not part of it`);
    } else if (matched !== route) {
      report(
        'path_prefix',
        `route "${name}" has the host and prefix of route "${matched.name}" above`,
      );
    }
    return found;
  });
}

function findContradictions(
  { limits, routes, services }: RouteConfiguration,
  tenants: readonly TenantRow[],
): Finding[] {
  const found: Finding[] = [];
  const report = (path: FieldPath, detail: string) =>
    found.push(finding(FindingKind.contradiction, path, detail));
  if (limits.maxHeaderBytes === 0) report(['limits', 'max_header_bytes'], 'no request fits into 0');
  for (const [index, route] of routes.entries()) {
    const { targetMilliseconds: target, timeoutMilliseconds: timeout } = route;
    if (timeout === 0) report(routeField(index, 'timeout'), 'no answer comes within 0 ms');
    else if (target > timeout) {
      const detail = `${target} ms is longer than the timeout, ${timeout} ms`;
      report(routeField(index, 'target_latency'), detail);
    }
  }
  for (const { maxConnections, name } of services.values()) {
    if (maxConnections === 0) report(['services'], `service "${name}" may have no connections`);
  }
  for (const [index, { tenant }] of tenants.entries()) {
    if (tenant.requestsPerSecond === 0 && tenant.burst > 0) {
      report(tenantField(index, 'burst'), `has no effect, since "${tenant.name}" has no rate`);
    }
    for (const route of routes.filter((candidate) => areDisjoint(candidate, tenant))) {
      const detail = `no region is allowed for both tenant "${tenant.name}" and route "${route.name}"`;
      report(tenantField(index, 'allowed_regions'), detail);
    }
  }
  return found;
}

type Regions = Pick<Route, 'allowedRegions' | 'isPublic'>;

/** A public route has no tenant, so that the regions of tenants do not apply to it. */
function areDisjoint({ allowedRegions, isPublic }: Regions, tenant: Regions): boolean {
  const ofTenant = tenant.allowedRegions;
  if (isPublic === true || allowedRegions === undefined || ofTenant === undefined) return false;
  return !allowedRegions.some((region) => ofTenant.includes(region));
}

/** Finds keys of two tenants. The key itself is not shown; its position in its list is. */
function findSharedKeys(tenants: readonly TenantRow[]): Finding[] {
  const holders = new Map<string, string>();
  return tenants.flatMap(({ keys, tenant }, index) =>
    keys.flatMap((key, position) => {
      const holder = holders.get(key);
      if (holder === undefined) holders.set(key, tenant.name);
      if (holder === undefined || holder === tenant.name) return [];
      const detail = `key ${position + 1} of "${tenant.name}" belongs to "${holder}" already`;
      return [finding(FindingKind.sharedKey, tenantField(index, 'api_keys'), detail)];
    }),
  );
}

function findUnknownServices({ routes, services }: RouteConfiguration): Finding[] {
  return routes.flatMap((route, index) =>
    route.services
      .filter(({ service }) => !services.has(service))
      .map(({ service }) =>
        finding(
          FindingKind.noBackendServers,
          routeField(index, 'service'),
          `route "${route.name}" leads to service "${service}", which "services" does not have`,
        ),
      ),
  );
}
