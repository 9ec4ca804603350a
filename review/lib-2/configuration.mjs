// The operator's configuration, in the encoding of PROTOCOL.md.
export function configurationOf({ routes, services, limits = {}, version = 1 }) {
  const columns =
    'name host path_prefix kind timeout target_latency priority service max_attempts'.split(' ');
  return {
    version,
    routes: {
      columns,
      rows: routes.map((route) => [
        route.name,
        `${route.name}.example`,
        `/${route.name}/`,
        route.kind,
        route.timeout,
        route.target,
        1,
        route.service,
        route.attempts ?? 2,
      ]),
    },
    services: {
      columns: ['name', 'health_path', 'max_conns'],
      rows: services.map((service) => [service, '/healthz', 260]),
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
      ...limits,
    },
  };
}

const commonBounds = [
  'seed_lag=3s',
  'reuse_after=2s',
  'stability_window=4000ms',
  'loss_slack=200ms',
  'rollback_slack=250ms',
  'budget_ratio=0.2',
  'budget_window=10s',
  'recover=15s',
  'probes_per_s=60',
];

/** Bounds of the deployment kapatiran-mesh-grown (demands/LATER.md). */
export const demandsBounds = [
  ...commonBounds,
  'ack=6000ms',
  'catch_up=6s',
  'drain=3000ms',
  'grace=6s',
  'config=3000ms',
  'max_skew=6000ms',
  'budget_slack=202',
];

/** Bounds of the deployment litoteca-uy-large (large/LATER.md). */
export const largeBounds = [
  ...commonBounds,
  'ack=6000ms',
  'catch_up=6s',
  'drain=4000ms',
  'grace=10s',
  'config=4000ms',
  'max_skew=6000ms',
  'budget_slack=430',
];

/** Further bounds of the deployment umoja-quotes-grown (demands/LATER.md). */
export const evacuationBounds = ['cold_over=1.5', 'cold_slack=8', 'evac=5000ms'];
