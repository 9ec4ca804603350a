/** A kind of request in the model. */
export interface ModelKind {
  readonly name: string;
  readonly idempotent: boolean;
  readonly weight: number;
  readonly deadlineMilliseconds: number;
  /** Mean work in milliseconds. */
  readonly work: number;
  /** Share of the requests of the service. */
  readonly share: number;
}

/** A service in the model. */
export interface ModelService {
  readonly name: string;
  readonly kinds: readonly ModelKind[];
}

/** Sizes and delays of one deployment (design page, section 1.1). */
export interface ModelDeployment {
  readonly name: string;
  readonly slots: number;
  readonly connections: number;
  /** One-way delay between failure domains of one region, in milliseconds. */
  readonly domainDelay: number;
  readonly linkPriceMillisecondsPerKilobyte: number;
  readonly services: readonly ModelService[];
}

/** One-way delays that both deployments share, in milliseconds. */
export const regionDelay = 30;
export const callerDelay = 8;
export const hostDelay = 0.1;
/** Link between the regions, each way: 30 Mbit/s. */
export const linkBytesPerMillisecond = 3_750;
/** Request and answer together, in bytes. */
export const requestBytes = 3_000;
export const REGIONS = ['first', 'second'] as const;

function idempotentKind(name: string, work: number, weight: number, deadline: number): ModelKind {
  return { name, idempotent: true, weight, deadlineMilliseconds: deadline, work, share: 0.8 };
}

function commandKind(name: string, work: number, weight: number, deadline: number): ModelKind {
  return { name, idempotent: false, weight, deadlineMilliseconds: deadline, work, share: 0.2 };
}

/** Work, weights and deadlines are assumptions: the design page states sizes and delays only. */
export const modelDeployments: readonly ModelDeployment[] = [
  {
    name: 'litoteca',
    slots: 13,
    connections: 260,
    domainDelay: 1,
    linkPriceMillisecondsPerKilobyte: 2,
    services: [
      {
        name: 'catalogue',
        kinds: [idempotentKind('read', 20, 3, 500), commandKind('annotate', 30, 1, 1_000)],
      },
      {
        name: 'laboratory',
        kinds: [idempotentKind('status', 25, 1, 800), commandKind('cut-order', 40, 5, 2_000)],
      },
      {
        name: 'custody',
        kinds: [idempotentKind('free-tables', 20, 2, 500), commandKind('booking', 35, 4, 1_000)],
      },
    ],
  },
  {
    name: 'derwent',
    slots: 6,
    connections: 240,
    domainDelay: 0.5,
    linkPriceMillisecondsPerKilobyte: 0.5,
    services: [
      {
        name: 'fleet-status',
        kinds: [idempotentKind('check', 10, 4, 250), commandKind('report', 15, 1, 500)],
      },
      {
        name: 'phase-control',
        kinds: [idempotentKind('phase', 8, 2, 250), commandKind('phase-command', 12, 5, 300)],
      },
      {
        name: 'hire',
        kinds: [idempotentKind('dockets', 15, 1, 500), commandKind('docket', 25, 3, 1_000)],
      },
    ],
  },
];

/** Mean work of the requests of a service, in milliseconds. */
export function meanWork(service: ModelService): number {
  return service.kinds.reduce((sum, kind) => sum + kind.work * kind.share, 0);
}
