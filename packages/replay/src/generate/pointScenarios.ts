import type { ScenarioContext, ScenarioSource } from './scenarioSource.js';

type Point = Omit<ScenarioSource, 'seed'>;

/** One scenario for each point of section 1.2 of the design page. */
export function pointScenarios(context: ScenarioContext): Point[] {
  return [
    measuringBudget(context),
    wholeAnswers(context),
    truthfulNotRun(context),
    atMostOnce(context),
    leaving(context),
    plannedStops(context),
    configuration(context),
  ];
}

function measuringBudget({ traffic, quiet, busiest }: ScenarioContext): Point {
  return {
    name: 'point-1-measuring-budget',
    title: 'Measuring stays within its budget in both regions and on the link',
    point: 1,
    faults: 'straggler, kill and restart, cut of the link for 1.5 s',
    entries: [
      ...traffic.draw({ from: 0, until: 7_000, requestsPerSecond: quiet }),
      { time: 800, event: 'straggler', target: `${busiest}-1`, factor: 6 },
      { time: 1_500, event: 'kill', target: `${busiest}-3`, part: 'host' },
      { time: 2_500, event: 'restart', target: `${busiest}-3` },
      { time: 3_500, event: 'cut', direction: 'both' },
      { time: 5_000, event: 'heal' },
      { time: 5_500, event: 'straggler', target: `${busiest}-1`, factor: 1 },
    ],
    expect: { measuringWithinBudget: true, answeredShareAtLeast: 0.85 },
  };
}

function wholeAnswers({ traffic, quiet, busiest, services }: ScenarioContext): Point {
  const second = services[1] ?? busiest;
  return {
    name: 'point-2-whole-answers',
    title: 'Each caller gets the complete answer to its own request',
    point: 2,
    faults: 'late, half, missing and doubled answers; straggler',
    entries: [
      ...traffic.draw({ from: 0, until: 6_000, requestsPerSecond: 1.5 * quiet }),
      { time: 300, event: 'straggler', target: `${busiest}-2`, factor: 5 },
      { time: 600, event: 'answer-fault', target: `${busiest}-1`, fault: 'doubled', count: 10 },
      { time: 900, event: 'answer-fault', target: `${second}-1`, fault: 'doubled', count: 10 },
      { time: 2_000, event: 'answer-fault', target: `${busiest}-1`, fault: 'late', count: 10 },
      { time: 2_500, event: 'answer-fault', target: `${second}-2`, fault: 'half', count: 5 },
      { time: 3_000, event: 'answer-fault', target: `${busiest}-3`, fault: 'never', count: 3 },
      { time: 3_500, event: 'answer-fault', target: `${busiest}-4`, fault: 'half', count: 5 },
    ],
    // A half answer whose head was passed on already ends with a broken connection.
    expect: { answeredShareAtLeast: 0.95, cutOff: 10 },
  };
}

function truthfulNotRun({ traffic, capacity, quiet, busiest }: ScenarioContext): Point {
  const overload = { from: 1_000, until: 2_500, requestsPerSecond: 1.5 * capacity };
  return {
    name: 'point-3-truthful-not-run',
    title: 'A request that is reported as not run did not run',
    point: 3,
    faults: 'overload, shedding, kill of a backend server and of a node, freeze and thaw',
    entries: [
      ...traffic.draw({ from: 0, until: 6_000, requestsPerSecond: quiet }),
      ...traffic.draw({ ...overload, services: [busiest] }),
      { time: 500, event: 'shed', target: `${busiest}-1`, share: 0.5 },
      { time: 1_600, event: 'kill', target: `${busiest}-2`, part: 'backend-server' },
      { time: 2_200, event: 'kill', target: `${busiest}-3`, part: 'node' },
      { time: 2_800, event: 'freeze', target: `${busiest}-4`, part: 'node' },
      { time: 3_600, event: 'thaw', target: `${busiest}-4`, part: 'node' },
      { time: 3_800, event: 'restart', target: `${busiest}-2` },
      { time: 3_800, event: 'restart', target: `${busiest}-3` },
      { time: 4_000, event: 'shed', target: `${busiest}-1`, share: 0 },
    ],
    expect: { answeredShareAtLeast: 0.4 },
  };
}

function atMostOnce({ traffic, quiet, services }: ScenarioContext): Point {
  const [first = '', second = first, third = second] = services;
  return {
    name: 'point-4-at-most-once',
    title: 'A non-idempotent request runs at most once',
    point: 4,
    faults: 'repeated keys from both regions, kill, freeze and thaw, one-way cut, half answers',
    entries: [
      ...traffic.draw({
        from: 0,
        until: 7_000,
        requestsPerSecond: quiet,
        nonIdempotentShare: 0.6,
      }),
      { time: 800, event: 'answer-fault', target: `${second}-1`, fault: 'half', count: 4 },
      { time: 1_200, event: 'answer-fault', target: `${third}-2`, fault: 'never', count: 3 },
      { time: 1_500, event: 'kill', target: `${second}-1`, part: 'node' },
      { time: 2_000, event: 'freeze', target: `${third}-2`, part: 'node' },
      { time: 2_500, event: 'restart', target: `${second}-1` },
      { time: 3_200, event: 'thaw', target: `${third}-2`, part: 'node' },
      { time: 3_600, event: 'cut', direction: 'forth' },
      { time: 4_600, event: 'heal' },
      { time: 5_000, event: 'kill', target: `${third}-3`, part: 'host' },
      { time: 6_000, event: 'restart', target: `${third}-3` },
    ],
    expect: { cutOff: 4, answeredShareAtLeast: 0.5 },
  };
}

function leaving({ traffic, quiet, busiest, services }: ScenarioContext): Point {
  const second = services[1] ?? busiest;
  return {
    name: 'point-5-leaving',
    title: 'A backend server that is leaving gets no new work',
    point: 5,
    faults: 'drains while the store is down and the link is cut',
    entries: [
      ...traffic.draw({ from: 0, until: 7_000, requestsPerSecond: quiet }),
      { time: 500, event: 'drain', target: `${busiest}-1` },
      { time: 1_000, event: 'store-outage', down: true },
      { time: 1_200, event: 'drain', target: `${second}-2` },
      { time: 1_500, event: 'cut', direction: 'both' },
      { time: 2_500, event: 'heal' },
      { time: 4_500, event: 'store-outage', down: false },
      { time: 5_800, event: 'return', target: `${busiest}-1` },
    ],
    expect: { answeredShareAtLeast: 0.9 },
  };
}

function plannedStops({ traffic, quiet, busiest, services }: ScenarioContext): Point {
  const second = services[1] ?? busiest;
  const targets = [`${busiest}-1`, `${second}-2`, `${busiest}-3`];
  return {
    name: 'point-6-planned-stops',
    title: 'A planned stop cuts off no request in flight',
    point: 6,
    faults: 'rolling restart of three hosts',
    entries: [
      ...traffic.draw({ from: 0, until: 9_000, requestsPerSecond: quiet }),
      { time: 500, event: 'rolling-restart', targets },
    ],
    expect: { answeredShareAtLeast: 0.99, unknownShareAtMost: 0 },
  };
}

function configuration({ traffic, quiet, busiest }: ScenarioContext): Point {
  return {
    name: 'point-7-configuration',
    title: 'An accepted configuration takes effect everywhere and never reverts',
    point: 7,
    faults: 'two operators at once, lost answers, store outage, kill and restart',
    entries: [
      ...traffic.draw({ from: 0, until: 9_000, requestsPerSecond: quiet }),
      { time: 500, event: 'apply' },
      { time: 1_800, event: 'operator-race' },
      { time: 3_400, event: 'lost-answer', count: 1 },
      { time: 3_450, event: 'apply' },
      { time: 5_000, event: 'kill', target: `${busiest}-2`, part: 'node' },
      { time: 5_200, event: 'store-outage', down: true },
      { time: 5_400, event: 'restart', target: `${busiest}-2` },
      { time: 7_500, event: 'store-outage', down: false },
    ],
    expect: { answeredShareAtLeast: 0.95, configurationAtLeast: 4 },
  };
}
