import { HostSpeedModel, RandomSource } from '@hickorybridge/utils';
import { mock } from 'node:test';

import type { Permit } from '../AdmissionController.js';
import { SlotAdmissionController } from '../SlotAdmissionController.js';
import { TenantServiceOrder } from '../TenantServiceOrder.js';

/** Requests of one kind from one tenant, with Poisson arrivals. */
export interface LoadSource {
  readonly tenant?: string | undefined;
  readonly tenantPriority?: number;
  readonly kind: string;
  readonly weight: number;
  readonly requestsPerSecond: number;
  readonly targetMilliseconds: number;
  readonly timeoutMilliseconds: number;
  /** Mean work of a request, in milliseconds. */
  readonly workMilliseconds: number;
  /** Span in which the requests are sent, in milliseconds; the whole run by default. */
  readonly from?: number;
  readonly until?: number;
  /** Delay until a refused request is sent again, in milliseconds. The deadline stays the same. */
  readonly retryDelay?: (remainingMilliseconds: number, random: RandomSource) => number;
}

/** What became of the requests of one source. */
export interface SourceResult {
  readonly sent: number;
  readonly served: number;
  readonly inTime: number;
}

type SourceEvent = keyof SourceResult;

export interface SimulationOptions {
  readonly sources: readonly LoadSource[];
  readonly milliseconds: number;
  readonly seed: number;
  readonly slots?: number;
  /** Slot time of a tenant in each round, for comparisons: 0.001 is fair queueing, 1e12 none. */
  readonly quantumMilliseconds?: number | undefined;
  /** Called with each outcome in order, for comparisons of decisions. */
  readonly onOutcome?: (request: number, outcome: string, now: number) => void;
}

/** A request, which its caller may send several times. */
interface Sending {
  readonly source: LoadSource;
  readonly sourceEvents: SourceEvent[];
  readonly work: number;
  readonly deadline: number;
  readonly usefulUntil: number;
}

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

const sweepIntervalMilliseconds = 25;
const busyShare = 0.8;
const busyFactor = 1.7;
const slowFactor = 5;
/** A shared host is slow in the first quarter of each period. */
const slowPeriodMilliseconds = 600;
const slowShare = 0.25;

/**
 * Runs a load through a `SlotAdmissionController` in virtual time. The backend server is the one of
 * the deployments that tenants share: slower when nearly full, and on a host that is slow at times.
 */
export async function simulateLoad(options: SimulationOptions): Promise<SourceResult[]> {
  const { milliseconds, onOutcome, quantumMilliseconds, seed, slots = 9, sources } = options;
  const random = new RandomSource(seed);
  let now = 0;
  const clock = { now: () => now, wallTime: () => now, sleep: async () => {} };
  mock.timers.enable({ apis: ['setInterval'] });
  const speed = new HostSpeedModel();
  const admission = new SlotAdmissionController({
    slots,
    coldMilliseconds: 0,
    speed,
    clock,
    tenantOrder: new TenantServiceOrder(quantumMilliseconds),
  });
  const events = sources.map((): SourceEvent[] => []);
  const arrivals: ScheduledEvent[] = [];
  const scheduled: ScheduledEvent[] = [];
  let requests = 0;
  let inFlight = 0;

  const serve = (permit: Permit, work: number, onEnd: () => void) => {
    inFlight += 1;
    const workFactor =
      now % slowPeriodMilliseconds < slowPeriodMilliseconds * slowShare ? slowFactor : 1;
    const factor = (inFlight > slots * busyShare ? busyFactor : 1) * workFactor;
    speed.observe(workFactor, now);
    const duration = work * factor;
    scheduled.push({
      at: now + duration,
      run: () => {
        inFlight -= 1;
        onEnd();
        permit.release(duration);
      },
    });
  };
  const send = (sending: Sending) => {
    const { deadline, source, sourceEvents, usefulUntil, work } = sending;
    const request = requests;
    requests += 1;
    admission
      .admit({
        kind: source.kind,
        weight: source.weight,
        depth: 0,
        deadline,
        usefulUntil,
        tenant: source.tenant,
        tenantPriority: source.tenantPriority,
        signal: new AbortController().signal,
      })
      .then((outcome) => {
        onOutcome?.(request, outcome.type, now);
        if (outcome.type === 'refused') {
          const delay = source.retryDelay?.(deadline - now, random);
          if (delay === undefined || now + delay >= deadline) return;
          scheduled.push({ at: now + delay, run: () => send(sending) });
          return;
        }
        serve(outcome.permit, work, () => {
          if (now <= deadline) sourceEvents.push('served');
          if (now <= usefulUntil) sourceEvents.push('inTime');
        });
      });
  };
  const arrive = (source: LoadSource, sourceEvents: SourceEvent[], work: number) => {
    sourceEvents.push('sent');
    const deadline = now + source.timeoutMilliseconds;
    send({ source, sourceEvents, work, deadline, usefulUntil: now + source.targetMilliseconds });
  };

  for (const [index, source] of sources.entries()) {
    const sourceEvents = events[index];
    if (sourceEvents === undefined) continue;
    const gap = () => (-Math.log(1 - random.next()) * 1000) / source.requestsPerSecond;
    const until = source.until ?? milliseconds;
    for (let at = (source.from ?? 0) + gap(); at < until; at += gap()) {
      const work = source.workMilliseconds * (0.5 + random.next());
      arrivals.push({ at, run: () => arrive(source, sourceEvents, work) });
    }
  }
  arrivals.sort((first, second) => first.at - second.at);

  try {
    let nextArrival = 0;
    let nextSweep = sweepIntervalMilliseconds;
    for (;;) {
      scheduled.sort((first, second) => second.at - first.at);
      const arrival = arrivals[nextArrival];
      const completion = scheduled.at(-1);
      if (arrival === undefined && completion === undefined) break;
      const next =
        completion !== undefined && completion.at <= (arrival?.at ?? Infinity)
          ? completion
          : arrival;
      if (next === undefined) break;
      if (nextSweep < next.at) {
        now = nextSweep;
        nextSweep += sweepIntervalMilliseconds;
        mock.timers.tick(sweepIntervalMilliseconds);
      } else {
        if (next === completion) scheduled.pop();
        else nextArrival += 1;
        now = next.at;
        next.run();
      }
      await settleOutcomes();
    }
  } finally {
    mock.timers.reset();
  }
  return events.map((list) => {
    const count = (name: SourceEvent) => list.filter((event) => event === name).length;
    return { sent: count('sent'), served: count('served'), inTime: count('inTime') };
  });
}

/** Lets the continuations of settled promises run without leaving the turn of the event loop. */
async function settleOutcomes(): Promise<void> {
  for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
}
