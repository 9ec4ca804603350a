import { createSelector } from '@hickorybridge/routing';
import type { BackendServerDirectory, BackendServerEntry } from '@hickorybridge/types';
import { RandomSource, systemClock } from '@hickorybridge/utils';
import { REGIONS } from './modelDeployments.js';

/** Target scale (design page, section 1.5). */
const SERVICES = 17;
const BACKEND_SERVERS = 640;
const FAILURE_DOMAINS_PER_REGION = 2;
const SLOTS = 8;
const WARM_UP_SELECTIONS = 20_000;
const TIMED_SELECTIONS = 100_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

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
    selector.sent(entry);
    const inFlight = random.integerBelow(SLOTS);
    const report = { limit: SLOTS, inFlight, queued: 0, serviceMilliseconds: 20, rampShare: 1 };
    selector.finished(entry, { type: 'answered', report, elapsedMilliseconds: 21 });
  };
  for (let index = 0; index < WARM_UP_SELECTIONS; index += 1) selectOne();
  const start = systemClock.now();
  for (let index = 0; index < TIMED_SELECTIONS; index += 1) selectOne();
  const elapsed = systemClock.now() - start;
  return (elapsed * MICROSECONDS_PER_MILLISECOND) / TIMED_SELECTIONS;
}

function makeEntries(service: number): readonly BackendServerEntry[] {
  const count =
    Math.floor(BACKEND_SERVERS / SERVICES) + (service < BACKEND_SERVERS % SERVICES ? 1 : 0);
  return Array.from({ length: count }, (_, index) => {
    const region = REGIONS[index % REGIONS.length] ?? REGIONS[0];
    const domain = Math.floor(index / REGIONS.length) % FAILURE_DOMAINS_PER_REGION;
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
