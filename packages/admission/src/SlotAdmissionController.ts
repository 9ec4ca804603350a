import type { LoadReport, RefusalReason } from '@hickorybridge/types';
import type { Clock, HostSpeedModel } from '@hickorybridge/utils';

import type {
  AdmissionController,
  AdmissionOutcome,
  AdmissionRequest,
  Permit,
} from './AdmissionController.js';
import type { EstimatedRequest } from './EstimatedRequest.js';
import { KneeEstimator } from './KneeEstimator.js';
import { OccupancyMeter, type OccupancySummary } from './OccupancyMeter.js';
import { RefusalMeter, type RefusalSummary } from './RefusalMeter.js';
import { ServiceTimes } from './ServiceTimes.js';
import { SlownessEstimator } from './SlownessEstimator.js';
import {
  isUnlikelyToMeetDeadline,
  isTimely,
  ValueDensityQueue,
  type LoadSnapshot,
} from './ValueDensityQueue.js';
import { SlotUtilization } from './SlotUtilization.js';
import type { TenantServiceOrder } from './TenantServiceOrder.js';

/** Settings of a slot admission controller for one backend server. */
export interface SlotAdmissionSettings {
  /** Requests that the backend server processes concurrently, as declared by itself. */
  readonly slots: number;
  /** How long the backend server stays slow after its start, in milliseconds. */
  readonly coldMilliseconds: number;
  /** Speed of this host. */
  readonly speed: HostSpeedModel;
  readonly clock: Clock;
  /** Order of service while requests with a tenant wait; replaced in comparisons. */
  readonly tenantOrder?: TenantServiceOrder;
}

interface WaitingRequest extends EstimatedRequest {
  readonly settle: (outcome: AdmissionOutcome) => void;
  readonly onAbort: () => void;
}

interface RunningRequest extends EstimatedRequest {
  readonly startedAt: number;
  /** Value of the host's cumulative work counter at the start; see `completedWorkAt`. */
  readonly startWork: number;
  /** Requests in flight at the start, including this one. */
  readonly concurrency: number;
}

/** Weight of the smoothed service time when averaged with requests in flight, in requests. */
const priorSampleCount = 4;
/** Ramp share that a cold backend server reports. */
const coldRampShare = 0.5;
/** Share of the slots up to which the work of a request counts towards the slowness. */
const partialLoadShare = 0.6;
/** Average number of concurrent calls below which no slot is reserved for calls. */
const minimumConcurrentCallsForReserve = 0.25;
/** Maximum share of the limit that is reserved for calls. */
const maxReservedShare = 0.34;
/** Interval at which waiting requests are checked while no request completes. */
const sweepIntervalMilliseconds = 25;

/**
 * Admits requests to a backend server whose slots are known and which receives requests through
 * this node only, so that the number in flight is exact. Excess requests wait in this queue, where
 * they can be ordered and refused, instead of inside the backend server.
 */
export class SlotAdmissionController implements AdmissionController {
  readonly #settings: SlotAdmissionSettings;

  readonly #clock: Clock;

  readonly #startedAt: number;

  /** Service times at the normal speed of the host. */
  readonly #serviceTimes = new ServiceTimes();

  readonly #slownessEstimator = new SlownessEstimator();

  readonly #kneeEstimator: KneeEstimator;

  readonly #timelyUtilization: SlotUtilization;

  /** Share of the slots that calls use. */
  readonly #callUtilization: SlotUtilization;

  readonly #occupancy: OccupancyMeter;

  readonly #queue: ValueDensityQueue<WaitingRequest>;

  readonly #refusals = new RefusalMeter();

  readonly #running = new Map<Permit, RunningRequest>();

  #leaving = false;

  #sweeper: NodeJS.Timeout | undefined;

  #idleWaiters: (() => void)[] = [];

  constructor(settings: SlotAdmissionSettings) {
    this.#settings = settings;
    this.#clock = settings.clock;
    this.#startedAt = settings.clock.now();
    this.#queue = new ValueDensityQueue(settings.tenantOrder);
    this.#kneeEstimator = new KneeEstimator(settings.slots);
    this.#timelyUtilization = new SlotUtilization(settings.slots);
    this.#callUtilization = new SlotUtilization(settings.slots);
    this.#occupancy = new OccupancyMeter(settings.slots, this.#startedAt);
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

  /** Maximum number of requests in flight. */
  get #limit(): number {
    return this.#kneeEstimator.limitAt(this.#clock.now());
  }

  /**
   * Slots reserved for calls. A call is short, and while it waits, the request that made it holds a
   * slot of another backend server, so a full service would slow down the services that call it.
   */
  get #reserved(): number {
    const calls = this.#callUtilization.at(this.#clock.now()) * this.#settings.slots;
    if (calls < minimumConcurrentCallsForReserve) return 0;
    return Math.min(Math.ceil(calls), Math.floor(this.#limit * maxReservedShare));
  }

  #limitFor({ depth }: AdmissionRequest): number {
    return depth > 0 ? this.#limit : this.#limit - this.#reserved;
  }

  #expectedDuration(kind: string): number {
    const { speed } = this.#settings;
    const work = this.#serviceTimes.expectedFor(kind);
    return speed.expectedDuration(work, speed.workFactorAt(this.#clock.now()), 0);
  }

  report(workMilliseconds?: number): LoadReport {
    return {
      limit: this.#limit,
      reserved: this.#reserved,
      slowness: this.#currentSlowness(),
      inFlight: this.#running.size,
      // New requests overtake those that are already late.
      queued: this.#queue.countTimely(this.#clock.now()),
      serviceMilliseconds: this.#expectedServiceTime(),
      rampShare: this.#isCold() ? coldRampShare : 1,
      workFactor: this.#settings.speed.workFactorAt(this.#clock.now()),
      workMilliseconds,
    };
  }

  /** Returns the utilization of the backend server since the last call. */
  takeOccupancy(): OccupancySummary {
    return this.#occupancy.takeSummary(this.#clock.now());
  }

  /** Returns the refusals of tenants for lack of a slot since the last call. */
  takeRefusals(): RefusalSummary {
    return this.#refusals.takeSummary();
  }

  stopAdmitting(): void {
    this.#leaving = true;
  }

  /** Refuses all queued requests, for use once the backend server may not start any more. */
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

  #enqueue(entry: EstimatedRequest): Promise<AdmissionOutcome> {
    return new Promise((settle) => {
      const waiting: WaitingRequest = {
        ...entry,
        settle,
        onAbort: () => this.#refuse(waiting, 'cancelled'),
      };
      entry.request.signal.addEventListener('abort', waiting.onAbort, { once: true });
      this.#queue.add(waiting, this.#clock.now());
      this.#updateOccupancy();
      this.#dispatchQueued();
      this.#refuseUnservable();
      this.#sweeper ??= setInterval(
        () => this.#refuseUnservable(),
        sweepIntervalMilliseconds,
      ).unref();
    });
  }

  #refuse(waiting: WaitingRequest, reason: RefusalReason): void {
    if (!this.#queue.remove(waiting)) return;
    waiting.request.signal.removeEventListener('abort', waiting.onAbort);
    // A refusal while leaving says nothing about how often the tenant or the kind is served.
    if (reason !== 'leaving') this.#recordRefused(waiting.request);
    waiting.settle({ type: 'refused', reason });
    this.#onQueueChanged();
  }

  #recordRefused(request: AdmissionRequest): void {
    this.#queue.recordRefused(request, this.#clock.now());
    this.#refusals.record(request);
  }

  #refuseUnservable(): void {
    for (const waiting of this.#queue.findUnservable(this.#loadSnapshot())) {
      this.#refuse(waiting, 'deadline-unreachable');
    }
  }

  #loadSnapshot(): LoadSnapshot {
    const now = this.#clock.now();
    let workInFlight = 0;
    for (const { expectedMilliseconds, startedAt } of this.#running.values()) {
      workInFlight += Math.max(0, expectedMilliseconds - (now - startedAt));
    }
    return {
      now,
      concurrencyLimit: this.#limit,
      workInFlight,
      timelyUtilization: this.#timelyUtilization.at(now),
    };
  }

  #dispatchQueued(): void {
    while (this.#queue.length > 0 && this.#running.size < this.#limit) {
      const now = this.#clock.now();
      const waiting = this.#queue.findNext(now);
      if (waiting === undefined || this.#running.size >= this.#limitFor(waiting.request)) break;
      this.#queue.remove(waiting);
      waiting.request.signal.removeEventListener('abort', waiting.onAbort);
      if (!isUnlikelyToMeetDeadline(waiting, now)) waiting.settle(this.#dispatch(waiting));
      else {
        this.#recordRefused(waiting.request);
        waiting.settle({ type: 'refused', reason: 'deadline-unreachable' });
      }
    }
    this.#onQueueChanged();
  }

  #dispatch(entry: EstimatedRequest): AdmissionOutcome {
    const now = this.#clock.now();
    const permit: Permit = {
      release: (serviceMilliseconds) => this.#release(permit, serviceMilliseconds),
    };
    const startWork = this.#settings.speed.completedWorkAt(now);
    const concurrency = this.#running.size + 1;
    this.#running.set(permit, { ...entry, startedAt: now, startWork, concurrency });
    this.#queue.recordServed(entry, now);
    this.#updateOccupancy();
    if (entry.request.depth > 0) this.#callUtilization.add(entry.expectedMilliseconds, now);
    if (isTimely(entry, now)) this.#timelyUtilization.add(entry.expectedMilliseconds, now);
    return { type: 'admitted', permit };
  }

  #release(permit: Permit, serviceMilliseconds: number | undefined): void {
    const running = this.#running.get(permit);
    if (running === undefined) return;
    this.#running.delete(permit);
    const now = this.#clock.now();
    this.#queue.recordFinished(running, now - running.startedAt, now);
    this.#updateOccupancy();
    if (serviceMilliseconds !== undefined) {
      this.#record(running);
    }
    this.#dispatchQueued();
  }

  #record({ concurrency, request, startWork }: RunningRequest): void {
    const now = this.#clock.now();
    const work = Math.max(0, this.#settings.speed.completedWorkAt(now) - startWork);
    this.#serviceTimes.record(request.kind, work, now, false);
    const { expectedWorkMilliseconds } = request;
    const highestConcurrency = Math.max(concurrency, this.#running.size + 1);
    // Slowness caused by high concurrency ends with it, so it is not recorded as slowness.
    const isNearlyFull = highestConcurrency > this.#settings.slots * partialLoadShare;
    if (expectedWorkMilliseconds !== undefined && !isNearlyFull) {
      this.#slownessEstimator.record(work, expectedWorkMilliseconds, now);
    }
    this.#kneeEstimator.record(request.kind, work, highestConcurrency, now);
  }

  /**
   * Requests in flight that exceed the smoothed service time raise the estimate, so that reports
   * show a backend server that has stopped answering before its first late answer.
   */
  #expectedServiceTime(): number {
    const { smoothed } = this.#serviceTimes;
    const workNow = this.#settings.speed.completedWorkAt(this.#clock.now());
    let sum = smoothed * priorSampleCount;
    for (const { startWork } of this.#running.values()) {
      sum += Math.max(smoothed, workNow - startWork);
    }
    return sum / (priorSampleCount + this.#running.size);
  }

  #currentSlowness(): number {
    const now = this.#clock.now();
    const workNow = this.#settings.speed.completedWorkAt(now);
    const running = [...this.#running.values()].map(({ request, startWork }) => ({
      work: workNow - startWork,
      expectedWork: request.expectedWorkMilliseconds ?? Infinity,
    }));
    return this.#slownessEstimator.estimate(running, now);
  }

  #isCold(): boolean {
    return this.#clock.now() - this.#startedAt < this.#settings.coldMilliseconds;
  }

  #isIdle(): boolean {
    return this.#running.size === 0 && this.#queue.length === 0;
  }

  #updateOccupancy(): void {
    this.#occupancy.update(
      { inFlight: this.#running.size, waiting: this.#queue.length, limit: this.#limit },
      this.#clock.now(),
    );
  }

  #onQueueChanged(): void {
    this.#updateOccupancy();
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
