import { tenantSettingsBounds, tenantTableOf } from './meshTenants.js';
import { failureDomains, routes, services, settingsBounds } from './meshShape.js';

/** Ports of one host. */
export interface HostPorts {
  readonly backendServer: number;
  readonly reports: number;
  readonly callers: number;
  readonly readiness: number;
  readonly inbound: number;
  /** First of the ports for connections between nodes. */
  readonly peers: number;
}

export const portsPerHost = 8;
export const loopback = '127.0.0.1';

/** What the settings file of one host says. */
export interface HostFile {
  readonly name: string;
  readonly index: number;
  readonly ports: HostPorts;
  readonly storePort: number;
  /** Whether the deployment has tenants. */
  readonly tenants: boolean;
}

export function serviceOf(index: number): string {
  return services[index % services.length] as string;
}

export function failureDomainOf(index: number): (typeof failureDomains)[number] {
  const place = Math.floor(index / services.length) % failureDomains.length;
  return failureDomains[place] as (typeof failureDomains)[number];
}

/** Writes the settings of a host in the platform's format. */
export function settingsTextOf({ name, index, ports, storePort, tenants }: HostFile): string {
  const { name: failureDomain, region } = failureDomainOf(index);
  const bounds = tenants ? `${settingsBounds} ${tenantSettingsBounds}` : settingsBounds;
  const at = (port: number) => JSON.stringify(`${loopback}:${port}`);
  return `node_name = "${name}"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "${loopback}"
zone = "${failureDomain}"
region = "${region}"
port_range = [${ports.peers},${ports.peers + 2}]
bootstrap = true
heartbeat = "1500ms"
bounds = ${JSON.stringify(bounds.split(' '))}
app_addr = ${at(ports.backendServer)}
service = "${serviceOf(index)}"
[listen_addrs]
inbound = ${at(ports.inbound)}
outbound = ${at(ports.callers)}
ready = ${at(ports.readiness)}
control = ${at(ports.reports)}
[limits]
cpu_share = 0.54
cores = 1
memory_mb = 350
max_fds = 4100
[platform]
address = ${at(storePort)}
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history = "20s"
value_bytes = 1048576
`;
}

/** Time-outs of routes that differ from the usual ones, by name. */
export type Timeouts = ReadonlyMap<string, number>;

/** What differs between configurations. */
export interface ConfigurationParts {
  readonly version: number;
  readonly timeouts: Timeouts;
  /** Number of further routes, which are never called. */
  readonly extraRoutes: number;
  /** Keys that tenants no longer hold; absent where the deployment has no tenants. */
  readonly removedKeys?: ReadonlySet<string> | undefined;
}

/** Writes the configuration as the operator does. */
export function configurationOf({
  extraRoutes,
  removedKeys,
  timeouts,
  version,
}: ConfigurationParts): unknown {
  const row = (name: string, like: (typeof routes)[number]) => [
    name,
    `${name}.example`,
    `/${name}/`,
    like.idempotent ? 'safe' : 'unsafe',
    `${timeouts.get(name) ?? like.timeoutMilliseconds}ms`,
    `${like.targetMilliseconds}ms`,
    like.priority,
    like.service,
    like.maxAttempts,
  ];
  const extra = Array.from({ length: extraRoutes }, (_, index) =>
    row(`extra-${index}`, routes[index % routes.length] as (typeof routes)[number]),
  );
  return {
    version,
    routes: {
      columns:
        'name host path_prefix kind timeout target_latency priority service max_attempts'.split(
          ' ',
        ),
      rows: [...routes.map((route) => row(route.name, route)), ...extra],
    },
    services: {
      columns: ['name', 'health_path', 'max_conns'],
      rows: services.map((service) => [service, '/healthz', 240]),
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
    },
    ...(removedKeys === undefined ? {} : { tenants: tenantTableOf(removedKeys) }),
  };
}
