import type { BackendServerEntry, LoadReport, Verdict } from '@hickorybridge/types';
import { type Clock, RandomSource } from '@hickorybridge/utils';
import type { PolicyName, RoutingSettings } from '@hickorybridge/configuration';
import { createSelector } from '../createSelector.js';
import type { BackendServerSelector, SelectionRequest } from '../BackendServerSelector.js';

export const service = 'catalogue';

export const routingSettings: RoutingSettings = {
  policy: 'adaptive',
  subsetSize: 16,
  linkPriceMillisecondsPerKilobyte: 1,
  retryShare: 0.2,
  hedgeShare: 0.05,
  maxAttempts: 3,
};

/** Provides a clock, a directory with four failure domains and any number of selectors. */
export class Fixture {
  time = 1_000;

  readonly verdicts = new Map<string, Verdict>();

  entries: readonly BackendServerEntry[];

  readonly clock: Clock = {
    now: () => this.time,
    wallTime: () => this.time,
    sleep: () => Promise.resolve(),
  };

  constructor(count: number) {
    this.entries = Array.from({ length: count }, (_, index) => makeEntry(index));
  }

  makeSelector(policy: PolicyName = 'adaptive', seed = 1): BackendServerSelector {
    return createSelector({
      settings: { ...routingSettings, policy },
      context: { location: { region: 'south', failureDomain: 'south-0' }, nodeId: `node-${seed}` },
      directory: {
        list: () => this.entries,
        verdictOf: (_service, id) => this.verdicts.get(id) ?? 'up',
        peerAddressOf: () => undefined,
      },
      clock: this.clock,
      random: new RandomSource(seed),
    });
  }

  advance(milliseconds: number): void {
    this.time += milliseconds;
  }

  replace(id: string, changes: Partial<BackendServerEntry>): void {
    this.entries = this.entries.map((entry) =>
      entry.backendServerId === id ? { ...entry, ...changes } : entry,
    );
  }

  request(excluded: readonly string[] = []): SelectionRequest {
    return {
      service,
      deadline: this.time + 1_000,
      expectedBytes: 1_000,
      excluded: new Set(excluded),
    };
  }
}

/** Backend servers 0 and 4 are in the selector's failure domain, 1 and 5 elsewhere in its region. */
function makeEntry(index: number): BackendServerEntry {
  const region = index % 4 < 2 ? 'south' : 'north';
  return {
    backendServerId: `server-${index}`,
    service,
    nodeId: `node-of-${index}`,
    incarnation: 1,
    sequence: 1,
    state: 'serving',
    slots: 10,
    rampMilliseconds: 0,
    region,
    failureDomain: `${region}-${index % 2}`,
  };
}

/** Creates the report of an idle backend server, with the given changes. */
export function makeReport(changes: Partial<LoadReport> = {}): LoadReport {
  return { limit: 10, inFlight: 0, queued: 0, serviceMilliseconds: 20, rampShare: 1, ...changes };
}
