import { createSelector } from '@hickorybridge/routing';
import type { BackendServerDirectory, BackendServerEntry } from '@hickorybridge/types';
import { RandomSource, systemClock } from '@hickorybridge/utils';
import { REGIONS } from './modelDeployments.js';

/** Target scale (design page, section 1.5). */
const SERVICES = 17;
const backendServers = 640;
const failureDomainsPerRegion = 2;
const SLOTS = 8;
const warmUpSelections = 20_000;
const timedSelections = 100_000;
const microsecondsPerMillisecond = 1_000;

/** Gives the mean time of one selection with its bookkeeping, in microseconds, at target scale. */
export function timeSelections(seed: number): number {
  const random = new RandomSource(seed);
  const lists = Array.from({ length: SERVICES }, (_, service) => makeEntries(service));
  const directory: BackendServerDirectory = {
    list: (service) => lists[Number(service)] ?? [],
    verdictOf: () => 'up',
    peerAddressOf: () => undefined,
  };
  const selector = createSelector({
    settings: {
      policy: 'adaptive',
      subsetSize: 16,
      linkPriceMillisecondsPerKilobyte: 1,
      retryShare: 0.2,
      hedgeShare: 0.05,
      maxAttempts: 3,
    },
    context: { location: { region: REGIONS[0], failureDomain: 'first-0' }, nodeId: 'node-0' },
    directory,
    clock: systemClock,
    random,
  });
  const excluded = new Set<string>();
  const selectOne = (): void => {
    const service = String(random.integerBelow(SERVICES));
    const entry = selector.select({ service, deadline: 0, expectedBytes: 2_000, excluded });
    if (entry === undefined) throw new Error(`no backend server of service ${service}`);
    selector.recordSent(entry);
    const inFlight = random.integerBelow(SLOTS);
    const report = { limit: SLOTS, inFlight, queued: 0, serviceMilliseconds: 20, rampShare: 1 };
    selector.recordResult(entry, { type: 'answered', report, elapsedMilliseconds: 21 });
  };
  for (let index = 0; index < warmUpSelections; index += 1) selectOne();
  const start = systemClock.now();
  for (let index = 0; index < timedSelections; index += 1) selectOne();
  const elapsed = systemClock.now() - start;
  return (elapsed * microsecondsPerMillisecond) / timedSelections;
}

function makeEntries(service: number): readonly BackendServerEntry[] {
  const count =
    Math.floor(backendServers / SERVICES) + (service < backendServers % SERVICES ? 1 : 0);
  return Array.from({ length: count }, (_, index) => {
    const region = REGIONS[index % REGIONS.length] ?? REGIONS[0];
    const domain = Math.floor(index / REGIONS.length) % failureDomainsPerRegion;
    return {
      backendServerId: `server-${service}-${index}`,
      service: String(service),
      nodeId: `node-${service}-${index}`,
      incarnation: 1,
      sequence: 1,
      state: 'serving',
      slots: SLOTS,
      rampMilliseconds: 0,
      region,
      failureDomain: `${region}-${domain}`,
    };
  });
}
