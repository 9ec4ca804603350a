/** A tenant of the deployment, with its keys and what callers send with each of them. */
export interface MeshTenant {
  readonly name: string;
  /** Limit of the tenant, over all nodes. */
  readonly requestsPerSecond: number;
  readonly burst: number;
  readonly keys: readonly KeyUse[];
}

/** How often callers of the usual number of hosts send a key; the empty key stands for none. */
export interface KeyUse {
  readonly key: string;
  readonly sentPerSecond: number;
}

/** All keys begin with this text, so that one search finds any of them. */
export const keyPrefix = 'soak-key-';

/** The key that is removed during a run; its tenant keeps another one. */
export const removedKey = `${keyPrefix}usual-c-2`;

/** Callers send about 0.6 of a usual limit, and eight times that of the last tenant. */
export const meshTenants: readonly MeshTenant[] = [
  {
    name: 'small',
    requestsPerSecond: 1,
    burst: 5,
    keys: [{ key: `${keyPrefix}small`, sentPerSecond: 0.6 }],
  },
  {
    name: 'usual-a',
    requestsPerSecond: 20,
    burst: 20,
    keys: [{ key: `${keyPrefix}usual-a`, sentPerSecond: 12 }],
  },
  {
    name: 'usual-b',
    requestsPerSecond: 16,
    burst: 16,
    keys: [{ key: `${keyPrefix}usual-b`, sentPerSecond: 10 }],
  },
  {
    name: 'usual-c',
    requestsPerSecond: 15,
    burst: 15,
    keys: [
      { key: `${keyPrefix}usual-c-1`, sentPerSecond: 6 },
      { key: removedKey, sentPerSecond: 3 },
    ],
  },
  {
    name: 'hot',
    requestsPerSecond: 8,
    burst: 8,
    keys: [{ key: `${keyPrefix}hot`, sentPerSecond: 64 }],
  },
];

/** All that callers send: the keys of tenants, one that no tenant holds, and none. */
export const keyUses: readonly KeyUse[] = [
  ...meshTenants.flatMap(({ keys }) => keys),
  { key: `${keyPrefix}unknown`, sentPerSecond: 1.5 },
  { key: '', sentPerSecond: 0.5 },
];

/** Bounds of the rules on tenants, in milliseconds and requests. */
export const tenantBounds = {
  quotaWindow: 5000,
  quotaOver: 0.1,
  quotaSlack: 20,
  revoke: 5000,
} as const;

/** The bounds as the settings file names them. */
export const tenantSettingsBounds =
  'quota_window=5s quota_over=0.1 quota_slack=20 revoke=5000ms strict_revoke=false';

export function tenantOfKey(key: string): MeshTenant | undefined {
  return meshTenants.find(({ keys }) => keys.some((each) => each.key === key));
}

/** Writes the table of the configuration without the keys that were removed. */
export function tenantTableOf(removed: ReadonlySet<string>): unknown {
  return {
    columns: ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
    rows: meshTenants.map(({ burst, keys, name, requestsPerSecond }) => [
      name,
      keys.map(({ key }) => key).filter((key) => !removed.has(key)),
      1,
      requestsPerSecond,
      burst,
    ]),
  };
}
