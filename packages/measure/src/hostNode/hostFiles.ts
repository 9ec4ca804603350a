/** Ports of one host. */
export interface HostPorts {
  readonly callers: number;
  readonly reports: number;
  readonly readiness: number;
  readonly peers: number;
}

/** What the settings file of one host says. */
export interface HostFile {
  readonly name: string;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly ports: HostPorts;
  readonly backendServerPort: number;
  readonly storePort: number;
}

/** Writes a settings file in the platform's format. */
export function settingsTextOf(host: HostFile): string {
  const { address, backendServerPort, failureDomain, name, ports, service, storePort } = host;
  return `
node_name = "${name}"
ip = "${address}"
zone = "${failureDomain}"
region = "r"
service = "${service}"
app_addr = "${address}:${backendServerPort}"
port_range = [${ports.peers},${ports.peers + 1}]
bounds = ["drain=2500ms","config=2500ms","grace=1s","budget_ratio=0.2","budget_window=10s","budget_slack=60"]
[listen_addrs]
outbound = "${address}:${ports.callers}"
ready = "${address}:${ports.readiness}"
control = "${address}:${ports.reports}"
[platform]
address = "${address}:${storePort}"
`;
}

/** A configuration with one route of idempotent requests for each service. */
export function routeConfigurationOf(services: readonly string[]): unknown {
  return {
    version: 1,
    routes: {
      columns: [
        'name',
        'host',
        'path_prefix',
        'kind',
        'timeout',
        'target_latency',
        'priority',
        'service',
        'max_attempts',
      ],
      rows: services.map((service) => [
        `reads-${service}`,
        `${service}.example`,
        '/reads/',
        'safe',
        '1500ms',
        '600ms',
        1,
        service,
        2,
      ]),
    },
    services: { columns: ['name', 'max_conns'], rows: services.map((service) => [service, 800]) },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 500_000,
      header_timeout: '3s',
      idle_timeout: '15s',
    },
  };
}
