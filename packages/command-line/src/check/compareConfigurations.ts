import type { RouteConfiguration, Tenant } from '@hickorybridge/types';
import { isDeepStrictEqual } from 'node:util';

type Entries = ReadonlyMap<string, object>;

/** Describes what a configuration changes, one line for each entry. Keys are counted, not shown. */
export function compareConfigurations(
  before: RouteConfiguration,
  after: RouteConfiguration,
): readonly string[] {
  const byName = (entries: readonly { readonly name: string }[]) =>
    new Map(entries.map((entry) => [entry.name, entry]));
  return [
    ...(before.version === after.version ? [] : [`version: ${before.version} -> ${after.version}`]),
    ...compareEntries('limits', new Map([['', before.limits]]), new Map([['', after.limits]])),
    ...compareEntries('service', before.services, after.services),
    ...compareEntries('route', byName(before.routes), byName(after.routes)),
    ...compareTenants(before.tenantsByKey, after.tenantsByKey),
  ];
}

function compareEntries(kind: string, before: Entries, after: Entries): string[] {
  const added = [...after.keys()].filter((name) => !before.has(name));
  const removed = [...before.keys()].filter((name) => !after.has(name));
  const changed = [...after].flatMap(([name, entry]) => {
    const fields = changedFields(before.get(name) ?? entry, entry);
    return fields.map((field) => `${label(kind, name)}: ${field}`);
  });
  return [
    ...added.map((name) => `${label(kind, name)}: added`),
    ...removed.map((name) => `${label(kind, name)}: removed`),
    ...changed,
  ];
}

function label(kind: string, name: string): string {
  return name === '' ? kind : `${kind} "${name}"`;
}

function changedFields(before: object, after: object): string[] {
  const [first, second] = [new Map(Object.entries(before)), new Map(Object.entries(after))];
  return [...new Set([...first.keys(), ...second.keys()])]
    .filter((field) => !isDeepStrictEqual(first.get(field), second.get(field)))
    .map((field) => `${field} ${format(first.get(field))} -> ${format(second.get(field))}`);
}

function format(value: unknown): string {
  return JSON.stringify(value) ?? 'not set';
}

type TenantsByKey = RouteConfiguration['tenantsByKey'];

function compareTenants(before: TenantsByKey, after: TenantsByKey): string[] {
  if ((before === undefined) !== (after === undefined)) {
    return [after === undefined ? 'tenants: callers need no key' : 'tenants: callers need a key'];
  }
  const [first, second] = [before ?? new Map<string, Tenant>(), after ?? new Map<string, Tenant>()];
  const tenantsOf = (tenants: ReadonlyMap<string, Tenant>) =>
    new Map([...tenants.values()].map((tenant) => [tenant.name, tenant]));
  const tenants = compareEntries('tenant', tenantsOf(first), tenantsOf(second));
  const added = [...second].filter(([key, { name }]) => first.get(key)?.name !== name).length;
  const removed = [...first].filter(([key, { name }]) => second.get(key)?.name !== name).length;
  if (added + removed > 0) tenants.push(`API keys: ${added} added, ${removed} removed`);
  return tenants;
}
