import type { LoadSource } from './simulateLoad.js';

const shortKind = {
  kind: 'short',
  weight: 1,
  targetMilliseconds: 150,
  timeoutMilliseconds: 600,
  workMilliseconds: 30,
};
const longKind = {
  kind: 'long',
  weight: 0.5,
  targetMilliseconds: 1500,
  timeoutMilliseconds: 4000,
  workMilliseconds: 30,
};

function tenant(name: string, requestsPerSecond: number, tenantPriority = 0): LoadSource {
  return { ...shortKind, tenant: name, tenantPriority, requestsPerSecond };
}

function smallTenants(count: number): LoadSource[] {
  return Array.from({ length: count }, (_, index) => tenant(`small ${index}`, 2));
}

/**
 * Loads of a backend server that serves about 150 requests per second, in which tenants compete.
 * The hot tenants send 8 times their usual 10 or 20 requests per second.
 */
export const overloadPatterns = {
  /** One hot tenant beside many small ones and a few large ones. */
  oneHot: [
    tenant('hot', 160),
    ...smallTenants(30),
    ...['first', 'second', 'third'].map((name) => tenant(`large ${name}`, 25)),
  ],
  /** Two hot tenants at once beside a small one. */
  twoHot: [tenant('hot first', 160), tenant('hot second', 160), tenant('small', 2)],
  /** A burst of one kind of request beside work with a tenth of its target latency. */
  longBurst: [
    { ...tenant('steady', 90) },
    { ...longKind, tenant: 'burst', requestsPerSecond: 400, from: 4000, until: 6000 },
    { ...longKind, tenant: 'burst', requestsPerSecond: 10 },
  ],
  /** Both kinds from each tenant, of which the less urgent one can wait longer. */
  kinds: ['first', 'second', 'third'].flatMap((name) => [
    tenant(name, 50),
    { ...longKind, tenant: name, requestsPerSecond: 50 },
  ]),
  /** Tenants of three priorities, each of which could fill the slots. */
  priorities: [0, 1, 2].map((priority) => tenant(`priority ${priority}`, 150, priority)),
  /** A hot tenant of the highest priority beside tenants of lower priority. */
  hotPriority: [tenant('hot', 240, 0), tenant('middle', 40, 1), tenant('small', 4, 2)],
  /** Large tenants that an equal share of the slots does not satisfy. */
  deepOverload: [
    ...smallTenants(60),
    ...['first', 'second', 'third'].map((name) => tenant(`large ${name}`, 150)),
  ],
} satisfies Record<string, readonly LoadSource[]>;
