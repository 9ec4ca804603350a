import type { LoadReport, RefusalReason } from '@hickorybridge/types';
import type { Clock, HostSpeedModel } from '@hickorybridge/utils';

import type {
  AdmissionController,
  AdmissionOutcome,
  AdmissionRequest,
  Permit,
} from './AdmissionController.js';
import { KneeEstimate } from './KneeEstimate.js';
import { Occupancy, type OccupancySummary } from './Occupancy.js';
import { ServiceTimes } from './ServiceTimes.js';
import { Slowness } from './Slowness.js';
import {
  isHopeless,
  isTimely,
  TargetQueue,
  type QueueOutlook,
  type TargetQueueEntry,
} from './TargetQueue.js';
import { UsageShare } from './UsageShare.js';

/** What the admission in front of one backend server needs. */
export interface SlotAdmissionSettings {
  /** Requests that the backend server works on at the same time, as it says itself. */
  readonly slots: number;
  /** How long it stays slow after its start, in milliseconds. */
  readonly coldMilliseconds: number;
  /** Speed of this host. */
  readonly speed: HostSpeedModel;
  readonly clock: Clock;
}

interface Waiting extends TargetQueueEntry {
  readonly settle: (outcome: AdmissionOutcome) => void;
  readonly onAbort: () => void;
}

interface Running extends TargetQueueEntry {
  readonly startedAt: number;
  /** Work that a slot had done by the start, as the host's speed tells it. */
  readonly startWork: number;
  /** Requests in flight at the start. */
  readonly level: number;
}

/** Requests of the smoothed service time that unfinished requests are averaged with. */
const stuckPriorSamples = 4;
/** A cold backend server reports this share of its speed. */
const coldShare = 0.5;
/** Share of the slots up to which a request's time tells how quick the backend server itself is. */
const uncrowdedShare = 0.6;
/** Calls that run at the same time on average; below this no slot is kept free for them. */
const minimumCallsForReserve = 0.25;
/** Share of the slots that is kept free for calls at most. */
const maxReservedShare = 0.34;
/** How often waiting requests are checked while nothing ends, in milliseconds. */
const sweepMilliseconds = 25;

/**
 * Admission for a backend server whose slots are known and which is reached through this node
 * only, so that the count of its requests is exact. Requests beyond the slots wait here, where
 * they can be ordered and refused, and never in the backend server.
 */
export class SlotAdmissionController implements AdmissionController {
  readonly #settings: SlotAdmissionSettings;

  readonly #clock: Clock;

  readonly #startedAt: number;

  /** Times at the usual speed of the host. */
  readonly #serviceTimes = new ServiceTimes();

  readonly #slowness = new Slowness();

  readonly #knee: KneeEstimate;

  readonly #timelyUsage: UsageShare;

  /** What calls take of the slots. */
  readonly #callUsage: UsageShare;

  readonly #occupancy: Occupancy;

  readonly #queue = new TargetQueue<Waiting>();

  readonly #running = new Map<Permit, Running>();

  #leaving = false;

  #sweeper: NodeJS.Timeout | undefined;

  #idleWaiters: (() => void)[] = [];

  constructor(settings: SlotAdmissionSettings) {
    this.#settings = settings;
    this.#clock = settings.clock;
    this.#startedAt = settings.clock.now();
    this.#knee = new KneeEstimate(settings.slots);
    this.#timelyUsage = new UsageShare(settings.slots);
    this.#callUsage = new UsageShare(settings.slots);
    this.#occupancy = new Occupancy(settings.slots, this.#startedAt);
  }

  admit(request: AdmissionRequest): Promise<AdmissionOutcome> {
    const reason = this.#reasonToRefuse(request);
    if (reason !== undefined) return Promise.resolve({ type: 'refused', reason });
    const entry = { request, expectedMilliseconds: this.#expectedDuration(request.kind) };
    if (this.#queue.length === 0 && this.#running.size < this.#limitFor(request)) {
      return Promise.resolve(this.#dispatch(entry));
    }
    return this.#enqueue(entry);
  }

  /** Requests in flight at most. */
  get #limit(): number {
    return this.#knee.limitAt(this.#clock.now());
  }

  /**
   * Slots that new requests leave to calls. A call is short, and while it waits its request holds a
   * slot of another backend server, so that a full service slows down those that call it.
   */
  get #reserved(): number {
    const calls = this.#callUsage.at(this.#clock.now()) * this.#settings.slots;
    if (calls < minimumCallsForReserve) return 0;
    return Math.min(Math.ceil(calls), Math.floor(this.#limit * maxReservedShare));
  }

  #limitFor({ depth }: AdmissionRequest): number {
    return depth > 0 ? this.#limit : this.#limit - this.#reserved;
  }

  #expectedDuration(kind: string): number {
    const { speed } = this.#settings;
    const work = this.#serviceTimes.expectedFor(kind);
    return speed.expectedDuration(work, speed.factorAt(this.#clock.now()), 0);
  }

  report(workMilliseconds?: number): LoadReport {
    return {
      limit: this.#limit,
      reserved: this.#reserved,
      slowness: this.#slownessNow(),
      inFlight: this.#running.size,
      // Those that are late already are overtaken by new requests.
      queued: this.#queue.countTimely(this.#clock.now()),
      serviceMilliseconds: this.#expectedServiceTime(),
      rampShare: this.#isCold() ? coldShare : 1,
      workFactor: this.#settings.speed.factorAt(this.#clock.now()),
      workMilliseconds,
    };
  }

  /** How the backend server was used since the last call. */
  takeOccupancy(): OccupancySummary {
    return this.#occupancy.take(this.#clock.now());
  }

  stopAdmitting(): void {
    this.#leaving = true;
  }

  /** Refuses the requests that still wait, because they may not start any more. */
  refuseQueued(): void {
    for (const waiting of this.#queue.entries()) this.#refuse(waiting, 'leaving');
  }

  waitUntilIdle(): Promise<void> {
    if (this.#isIdle()) return Promise.resolve();
    return new Promise((resolve) => {
      this.#idleWaiters.push(resolve);
    });
  }

  #reasonToRefuse(request: AdmissionRequest): RefusalReason | undefined {
    if (request.signal.aborted) return 'cancelled';
    if (this.#clock.now() >= request.deadline) return 'deadline-passed';
    return this.#leaving ? 'leaving' : undefined;
  }

  #enqueue(entry: TargetQueueEntry): Promise<AdmissionOutcome> {
    return new Promise((settle) => {
      const waiting: Waiting = {
        ...entry,
        settle,
        onAbort: () => this.#refuse(waiting, 'cancelled'),
      };
      entry.request.signal.addEventListener('abort', waiting.onAbort, { once: true });
      this.#queue.add(waiting);
      this.#occupancyChanged();
      this.#dispatchQueued();
      this.#refuseUnservable();
      this.#sweeper ??= setInterval(() => this.#refuseUnservable(), sweepMilliseconds).unref();
    });
  }

  #refuse(waiting: Waiting, reason: RefusalReason): void {
    if (!this.#queue.remove(waiting)) return;
    waiting.request.signal.removeEventListener('abort', waiting.onAbort);
    waiting.settle({ type: 'refused', reason });
    this.#queueChanged();
  }

  #refuseUnservable(): void {
    for (const waiting of this.#queue.findUnservable(this.#outlook())) {
      this.#refuse(waiting, 'deadline-unreachable');
    }
  }

  #outlook(): QueueOutlook {
    const now = this.#clock.now();
    let workInFlight = 0;
    for (const { expectedMilliseconds, startedAt } of this.#running.values()) {
      workInFlight += Math.max(0, expectedMilliseconds - (now - startedAt));
    }
    return {
      now,
      places: this.#limit,
      workInFlight,
      timelyShare: this.#timelyUsage.at(now),
    };
  }

  #dispatchQueued(): void {
    while (this.#queue.length > 0 && this.#running.size < this.#limit) {
      const now = this.#clock.now();
      const waiting = this.#queue.findNext(now);
      if (waiting === undefined || this.#running.size >= this.#limitFor(waiting.request)) break;
      this.#queue.remove(waiting);
      waiting.request.signal.removeEventListener('abort', waiting.onAbort);
      if (!isHopeless(waiting, now)) waiting.settle(this.#dispatch(waiting));
      else waiting.settle({ type: 'refused', reason: 'deadline-unreachable' });
    }
    this.#queueChanged();
  }

  #dispatch(entry: TargetQueueEntry): AdmissionOutcome {
    const now = this.#clock.now();
    const permit: Permit = {
      release: (serviceMilliseconds) => this.#release(permit, serviceMilliseconds),
    };
    const startWork = this.#settings.speed.completedWorkAt(now);
    const level = this.#running.size + 1;
    this.#running.set(permit, { ...entry, startedAt: now, startWork, level });
    this.#occupancyChanged();
    if (entry.request.depth > 0) this.#callUsage.add(entry.expectedMilliseconds, now);
    if (isTimely(entry, now)) this.#timelyUsage.add(entry.expectedMilliseconds, now);
    return { type: 'admitted', permit };
  }

  #release(permit: Permit, serviceMilliseconds: number | undefined): void {
    const running = this.#running.get(permit);
    if (running === undefined) return;
    this.#running.delete(permit);
    this.#occupancyChanged();
    if (serviceMilliseconds !== undefined) {
      this.#record(running);
    }
    this.#dispatchQueued();
  }

  #record({ level, request, startWork }: Running): void {
    const now = this.#clock.now();
    const work = Math.max(0, this.#settings.speed.completedWorkAt(now) - startWork);
    this.#serviceTimes.record(request.kind, work, now, false);
    const { expectedWorkMilliseconds } = request;
    const highestLevel = Math.max(level, this.#running.size + 1);
    // A backend server that is slow because it is nearly full is quick again once it is not.
    const isCrowded = highestLevel > this.#settings.slots * uncrowdedShare;
    if (expectedWorkMilliseconds !== undefined && !isCrowded) {
      this.#slowness.record(work, expectedWorkMilliseconds, now);
    }
    this.#knee.record(request.kind, work, highestLevel, now);
  }

  /**
   * Requests that already run longer than the smoothed service time raise the estimate, so that a
   * backend server which stops answering shows in the reports before its first late answer.
   */
  #expectedServiceTime(): number {
    const { smoothed } = this.#serviceTimes;
    const workNow = this.#settings.speed.completedWorkAt(this.#clock.now());
    let sum = smoothed * stuckPriorSamples;
    for (const { startWork } of this.#running.values()) {
      sum += Math.max(smoothed, workNow - startWork);
    }
    return sum / (stuckPriorSamples + this.#running.size);
  }

  #slownessNow(): number {
    const now = this.#clock.now();
    const workNow = this.#settings.speed.completedWorkAt(now);
    const running = [...this.#running.values()].map(({ request, startWork }) => ({
      work: workNow - startWork,
      expectedWork: request.expectedWorkMilliseconds ?? Infinity,
    }));
    return this.#slowness.with(running, now);
  }

  #isCold(): boolean {
    return this.#clock.now() - this.#startedAt < this.#settings.coldMilliseconds;
  }

  #isIdle(): boolean {
    return this.#running.size === 0 && this.#queue.length === 0;
  }

  #occupancyChanged(): void {
    this.#occupancy.update(
      { inFlight: this.#running.size, waiting: this.#queue.length, limit: this.#limit },
      this.#clock.now(),
    );
  }

  #queueChanged(): void {
    this.#occupancyChanged();
    if (this.#queue.length === 0) {
      clearInterval(this.#sweeper);
      this.#sweeper = undefined;
    }
    if (!this.#isIdle()) return;
    const waiters = this.#idleWaiters;
    this.#idleWaiters = [];
    for (const resolve of waiters) resolve();
  }
}
