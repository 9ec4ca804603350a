import { p99Limits } from './scenarioSource.js';
import type { ScenarioContext, ScenarioSource } from './scenarioSource.js';

type Workload = Omit<ScenarioSource, 'seed' | 'point'>;

/** The workloads of both deployments, without failures of processes. */
export function workloadScenarios(context: ScenarioContext): Workload[] {
  return [
    quietDay(context),
    loadShift(context),
    straggler(context),
    noisyNeighbour(context),
    flashCrowd(context),
    coldStarts(context),
    farRegion(context),
  ];
}

function quietDay(context: ScenarioContext): Workload {
  const { traffic, quiet, serviceP99 } = context;
  return {
    name: 'quiet-day',
    title: 'Low load on all services',
    faults: 'none',
    entries: traffic.draw({ from: 0, until: 6_000, requestsPerSecond: quiet }),
    expect: {
      answeredShareAtLeast: 0.995,
      measuringWithinBudget: true,
      p99Milliseconds: p99Limits(context, 2 * serviceP99),
    },
  };
}

/** Each service in turn goes from idle to more than its capacity for 120 ms. */
function loadShift(context: ScenarioContext): Workload {
  const { traffic, quiet, capacity, services, serviceP99 } = context;
  const bursts = Array.from({ length: 9 }, (_, index) => {
    const from = 500 + index * 550;
    const service = services[index % services.length] ?? '';
    const burst = { from, until: from + 120, requestsPerSecond: 2 * capacity };
    return traffic.draw({ ...burst, services: [service] });
  });
  return {
    name: 'load-shift',
    title: 'Load moves between services within milliseconds',
    faults: 'bursts of twice the capacity for 120 ms',
    entries: [
      ...traffic.draw({ from: 0, until: 6_000, requestsPerSecond: quiet / 2 }),
      ...bursts.flat(),
    ],
    expect: {
      answeredShareAtLeast: 0.98,
      p99Milliseconds: p99Limits(context, 3 * serviceP99),
    },
  };
}

function straggler(context: ScenarioContext): Workload {
  const { traffic, quiet, busiest, serviceP99 } = context;
  return {
    name: 'straggler',
    title: 'One backend server becomes eight times slower without warning',
    faults: 'straggler from 1.5 s to 5 s',
    entries: [
      ...traffic.draw({ from: 0, until: 6_500, requestsPerSecond: 1.5 * quiet }),
      { time: 1_500, event: 'straggler', target: `${busiest}-1`, factor: 8 },
      { time: 5_000, event: 'straggler', target: `${busiest}-1`, factor: 1 },
    ],
    expect: {
      answeredShareAtLeast: 0.98,
      p99Milliseconds: p99Limits(context, 4 * serviceP99, [busiest]),
    },
  };
}

function noisyNeighbour(context: ScenarioContext): Workload {
  const { traffic, capacity, busiest, serviceP99 } = context;
  return {
    name: 'noisy-neighbour',
    title: 'A noisy neighbour takes most slots of one backend server',
    faults: 'noisy neighbour from 1.5 s to 5 s',
    entries: [
      ...traffic.draw({
        from: 0,
        until: 6_000,
        requestsPerSecond: 0.5 * capacity,
        services: [busiest],
      }),
      { time: 1_500, event: 'noisy-neighbour', target: `${busiest}-1`, slots: 5 },
      { time: 1_500, event: 'straggler', target: `${busiest}-1`, factor: 2 },
      { time: 5_000, event: 'noisy-neighbour', target: `${busiest}-1`, slots: 0 },
      { time: 5_000, event: 'straggler', target: `${busiest}-1`, factor: 1 },
    ],
    expect: {
      answeredShareAtLeast: 0.98,
      p99Milliseconds: p99Limits(context, 3 * serviceP99, [busiest]),
    },
  };
}

function flashCrowd(context: ScenarioContext): Workload {
  const { traffic, quiet, capacity, busiest } = context;
  const crowd = { from: 1_500, until: 4_000, requestsPerSecond: 1.5 * capacity };
  return {
    name: 'flash-crowd',
    title: 'One service is asked for 1.5 times its capacity',
    faults: 'overload from 1.5 s to 4 s',
    entries: [
      ...traffic.draw({ from: 0, until: 6_000, requestsPerSecond: quiet / 2 }),
      ...traffic.draw({ ...crowd, services: [busiest] }),
    ],
    // Of the crowd a third exceeds the capacity; the rest must be served.
    expect: { answeredShareAtLeast: 0.6, unknownShareAtMost: 0.02 },
  };
}

function coldStarts(context: ScenarioContext): Workload {
  const { traffic, quiet, busiest, serviceP99 } = context;
  return {
    name: 'cold-starts',
    title: 'Two backend servers of a service start cold',
    faults: 'cold starts at 1 s and 2.5 s, ramp of 2 s',
    entries: [
      ...traffic.draw({ from: 0, until: 6_000, requestsPerSecond: 1.5 * quiet }),
      { time: 1_000, event: 'cold-start', target: `${busiest}-1`, rampMilliseconds: 2_000 },
      { time: 2_500, event: 'cold-start', target: `${busiest}-2`, rampMilliseconds: 2_000 },
    ],
    expect: {
      answeredShareAtLeast: 0.99,
      p99Milliseconds: p99Limits(context, 4 * serviceP99, [busiest]),
    },
  };
}

/** The callers' region has half of the backend servers, so the rest must cross the link. */
function farRegion(context: ScenarioContext): Workload {
  const { traffic, capacity, busiest } = context;
  return {
    name: 'far-region',
    title: 'All callers are in the region without the store and need more than its capacity',
    faults: 'load of 0.7 of the whole capacity in one region',
    entries: traffic.draw({
      from: 0,
      until: 5_000,
      requestsPerSecond: 0.7 * capacity,
      services: [busiest],
      firstRegionShare: 0,
    }),
    expect: { answeredShareAtLeast: 0.95, unknownShareAtMost: 0.02 },
  };
}
