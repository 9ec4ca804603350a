import type { LoadReport, RefusalReason } from '@hickorybridge/types';
import type { Clock, HostSpeedModel } from '@hickorybridge/utils';

import type {
  AdmissionController,
  AdmissionOutcome,
  AdmissionRequest,
  Permit,
} from './AdmissionController.js';
import type { ColdRateLimiter } from './ColdRateLimiter.js';
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
  /** Limits the rate of requests while the backend server is cold. */
  readonly coldRateLimiter?: ColdRateLimiter;
  /** Speed of this host. */
  readonly speed: HostSpeedModel;
  readonly clock: Clock;
  /** Order of service while requests with a tenant wait; replaced in comparisons. */
  readonly tenantOrder?: TenantServiceOrder;
}

interface WaitingRequest extends EstimatedRequest {
  readonly settle: (outcome: AdmissionOutcome) => void;
  readonly onAbort: () => void;
  /** Until when the request waits for a cold backend server. */
  readonly coldWaitUntil: number;
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
/** Other nodes divide by the ramp share. */
const minimumRampShare = 0.05;
/** Share of the slots up to which the work of a request counts towards the slowness. */
const partialLoadShare = 0.6;
/** Average number of concurrent calls below which no slot is reserved for calls. */
const minimumConcurrentCallsForReserve = 0.25;
/** Maximum share of the limit that is reserved for calls. */
const maxReservedShare = 0.34;
/**
 * Share of the time until the target latency that a request waits because the backend server is
 * cold. Most of the time is left for another host.
 */
const maxColdWaitShare = 0.2;
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
    const isFree = this.#running.size < this.#limitFor(request) && this.#coldWait(1) === 0;
    if (this.#queue.length === 0 && isFree) {
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
    const limit = this.#reportedLimit();
    return {
      limit,
      reserved: Math.min(this.#reserved, limit - 1),
      slowness: this.#currentSlowness(),
      inFlight: this.#running.size,
      // New requests overtake those that are already late.
      queued: this.#queue.countTimely(this.#clock.now()),
      serviceMilliseconds: this.#expectedServiceTime(),
      rampShare: this.#rampShare(limit),
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
    if (this.#leaving) return 'leaving';
    return this.#wouldWaitTooLongForCold(request) ? 'shed' : undefined;
  }

  /** Time until the rate limit of a cold backend server allows this number of requests. */
  #coldWait(requests: number): number {
    return this.#settings.coldRateLimiter?.waitFor(requests) ?? 0;
  }

  #wouldWaitTooLongForCold(request: AdmissionRequest): boolean {
    if (this.#settings.coldRateLimiter?.requestsPerSecond === undefined) return false;
    // Calls overtake other requests.
    const ahead =
      request.depth === 0
        ? this.#queue.length
        : this.#queue.entries().filter((waiting) => waiting.request.depth > 0).length;
    return this.#coldWait(ahead + 1) > maxColdWait(request, this.#clock.now());
  }

  /** Lower than the limit while the rate is limited, so that other nodes send fewer requests. */
  #reportedLimit(): number {
    const sustained = this.#sustainedConcurrency();
    if (sustained === undefined) return this.#limit;
    const concurrency = this.#coldWait(1) > 0 ? this.#running.size : Math.ceil(sustained);
    return Math.max(1, Math.min(this.#limit, concurrency));
  }

  /** Requests in flight on average at the rate of a cold backend server; `undefined` without one. */
  #sustainedConcurrency(): number | undefined {
    const requestsPerSecond = this.#settings.coldRateLimiter?.requestsPerSecond;
    if (requestsPerSecond === undefined) return undefined;
    return (requestsPerSecond * this.#expectedServiceTime()) / 1000;
  }

  /** Share of the reported limit that a cold backend server can keep in use. */
  #rampShare(limit: number): number {
    if (!this.#isCold()) return 1;
    const sustained = this.#sustainedConcurrency() ?? limit;
    return Math.max(minimumRampShare, Math.min(coldRampShare, sustained / limit));
  }

  #enqueue(entry: EstimatedRequest): Promise<AdmissionOutcome> {
    return new Promise((settle) => {
      const waiting: WaitingRequest = {
        ...entry,
        settle,
        onAbort: () => this.#refuse(waiting, 'cancelled'),
        coldWaitUntil: this.#clock.now() + maxColdWait(entry.request, this.#clock.now()),
      };
      entry.request.signal.addEventListener('abort', waiting.onAbort, { once: true });
      this.#queue.add(waiting, this.#clock.now());
      this.#updateOccupancy();
      this.#dispatchQueued();
      this.#refuseUnservable();
      this.#sweeper ??= setInterval(() => this.#sweep(), sweepIntervalMilliseconds).unref();
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

  #sweep(): void {
    // The rate limit of a cold backend server may allow further requests, or may have ended.
    if (this.#settings.coldRateLimiter !== undefined) this.#dispatchQueued();
    this.#refuseUnservable();
    if (this.#coldWait(1) === 0) return;
    const now = this.#clock.now();
    for (const waiting of this.#queue.entries()) {
      if (now > waiting.coldWaitUntil) this.#refuse(waiting, 'shed');
    }
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
      if (this.#coldWait(1) > 0) break;
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
    this.#settings.coldRateLimiter?.take();
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
    if (this.#settings.coldRateLimiter?.requestsPerSecond !== undefined) return true;
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

/** Longest wait of a request because the backend server is cold, in milliseconds. */
function maxColdWait({ deadline, usefulUntil }: AdmissionRequest, now: number): number {
  // A request that is late already may still be answered by its deadline.
  const until = usefulUntil !== undefined && usefulUntil > now ? usefulUntil : deadline;
  return Math.max(0, until - now) * maxColdWaitShare;
}
