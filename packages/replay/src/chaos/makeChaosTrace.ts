import type { Deployment } from '@hickorybridge/configuration';
import { RandomSource } from '@hickorybridge/utils';
import { scenarioSchema } from '../check/expectations.js';
import { makeContext } from '../generate/scenarioSource.js';
import type { Trace } from '../trace/readTrace.js';
import type { TraceEvent } from '../trace/traceEntry.js';

/** What a random mix of faults is made from. */
export interface ChaosOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly seconds: number;
}

const millisecondsPerSecond = 1_000;

/** Mean time between two faults, in milliseconds. */
const faultGapMilliseconds = 700;

/** Greatest time for which a fault lasts, in milliseconds. */
const faultMilliseconds = 2_500;

/** Time without faults at both ends of the trace, in milliseconds. */
const calmMilliseconds = 500;

/** Half answers and doubled answers that a fault causes at most. */
const maximumFaultyAnswers = 4;

/** Makes a trace with random faults; it states only what must always hold. */
export function makeChaosTrace(options: ChaosOptions): Trace {
  const { deployment, seed, seconds } = options;
  const context = makeContext(deployment, seed);
  const duration = seconds * millisecondsPerSecond;
  const requests = context.traffic.draw({
    from: 0,
    until: duration,
    requestsPerSecond: context.quiet,
    nonIdempotentShare: 0.4,
  });
  const events = drawEvents(options, new RandomSource(seed + 1), duration);
  const halfAnswers = events.flatMap((event) =>
    event.event === 'answer-fault' && event.fault !== 'late' ? [event.count] : [],
  );
  const scenario = scenarioSchema.parse({
    title: `Random faults from seed ${seed}`,
    deployment: deployment.name,
    point: 'workload',
    faults: `${events.length} random events`,
    seed,
    // A half answer whose head was passed on already ends with a broken connection.
    expect: { cutOff: halfAnswers.reduce((sum, count) => sum + count, 0) },
  });
  const entries = [...requests, ...events].sort((first, second) => first.time - second.time);
  return { name: `chaos-${seed}`, scenario, entries };
}

function drawEvents(options: ChaosOptions, random: RandomSource, duration: number): TraceEvent[] {
  const last = duration - calmMilliseconds - faultMilliseconds;
  const busyUntil = new Map<string, number>();
  const events: TraceEvent[] = [];
  let time = calmMilliseconds;
  while (time < last) {
    const end = time + 200 + random.integerBelow(faultMilliseconds - 200);
    const [subject, pair] = drawFault(options, random, { time, end });
    // Faults of one kind or on one host follow each other, so that each has its own end.
    if ((busyUntil.get(subject) ?? 0) < time) {
      busyUntil.set(subject, end);
      events.push(...pair);
    }
    time += Math.round(-Math.log(1 - random.next()) * faultGapMilliseconds);
  }
  return events;
}

/** Draws one fault: the host or part that it occupies, and its events. */
function drawFault(
  { deployment }: ChaosOptions,
  random: RandomSource,
  { time, end }: { time: number; end: number },
): [string, TraceEvent[]] {
  const service = deployment.services[random.integerBelow(deployment.services.length)];
  const target = `${service?.name ?? ''}-${1 + random.integerBelow(4)}`;
  const count = 1 + random.integerBelow(maximumFaultyAnswers);
  const host: TraceEvent[][] = [
    [
      { time, event: 'straggler', target, factor: 2 + random.integerBelow(8) },
      { time: end, event: 'straggler', target, factor: 1 },
    ],
    [
      { time, event: 'noisy-neighbour', target, slots: 1 + random.integerBelow(5) },
      { time: end, event: 'noisy-neighbour', target, slots: 0 },
    ],
    [
      { time, event: 'shed', target, share: random.next() },
      { time: end, event: 'shed', target, share: 0 },
    ],
    [{ time, event: 'answer-fault', target, fault: 'half', count }],
    [{ time, event: 'answer-fault', target, fault: 'doubled', count }],
    [{ time, event: 'answer-fault', target, fault: 'late', count }],
    [
      { time, event: 'kill', target, part: 'node' },
      { time: end, event: 'restart', target },
    ],
    [
      { time, event: 'kill', target, part: 'host' },
      { time: end, event: 'restart', target },
    ],
    [
      { time, event: 'freeze', target, part: 'node' },
      { time: end, event: 'thaw', target, part: 'node' },
    ],
    [
      { time, event: 'drain', target },
      { time: end, event: 'return', target },
    ],
  ];
  const shared: [string, TraceEvent[]][] = [
    [
      'store',
      [
        { time, event: 'store-outage', down: true },
        { time: end, event: 'store-outage', down: false },
      ],
    ],
    [
      'link',
      [
        { time, event: 'cut', direction: 'both' },
        { time: end, event: 'heal' },
      ],
    ],
    ['apply', [{ time, event: 'apply' }]],
    ['store', [{ time, event: 'lost-answer', count: 1 }]],
  ];
  const choice = random.integerBelow(host.length + shared.length);
  return shared[choice - host.length] ?? [target, host[choice] ?? []];
}
