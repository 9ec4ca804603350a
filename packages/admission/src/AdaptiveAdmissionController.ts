import type { Clock } from '@hickorybridge/utils';
import type { LoadReport, RefusalReason } from '@hickorybridge/types';
import type {
  AdmissionController,
  AdmissionOutcome,
  AdmissionRequest,
  Permit,
} from './AdmissionController.js';
import { AdmissionQueue, type QueuedRequest } from './AdmissionQueue.js';
import { ConcurrencyLimit } from './ConcurrencyLimit.js';
import { ServiceTimes } from './ServiceTimes.js';

/** Settings of an adaptive admission controller for one backend server. */
export interface AdaptiveAdmissionSettings {
  /** Requests that the backend server can process concurrently. */
  readonly slots: number;
  /** Connections that the backend server accepts; caps the limit if lower than the slots. */
  readonly connections: number;
  /** Time after the start until a backend server gets its full limit, in milliseconds. */
  readonly rampMilliseconds: number;
  readonly clock: Clock;
  /** Maximum queue length; defaults to `queueEntriesPerSlot` times the slots. */
  readonly queueLimit?: number | undefined;
}

/** Share of the slots that a backend server starts with. */
const initialRampShare = 0.25;
/**
 * Bounds the queue when deadlines are long. A shorter queue refuses requests of a burst that could
 * have been served in time, and their retries use up the retry budget.
 */
const queueEntriesPerSlot = 8;
/** Weight of the smoothed service time when averaged with requests in flight, in requests. */
const priorSampleCount = 4;
/** Share of the limit below which service times are taken as unaffected by saturation. */
const unsaturatedShare = 0.5;
/** Upper bound of a sample's ratio; keeps one very late answer from dominating a window. */
const maximumRatio = 10;
/** Minimum sleep of the deadline monitor; prevents a busy loop. */
const minimumMonitorSleepMilliseconds = 1;

interface WaitingRequest extends QueuedRequest {
  readonly settle: (outcome: AdmissionOutcome) => void;
  readonly onAbort: () => void;
}

/** Admits requests up to an adaptive concurrency limit and queues a bounded number of others. */
export class AdaptiveAdmissionController implements AdmissionController {
  readonly #settings: AdaptiveAdmissionSettings;

  readonly #clock: Clock;

  readonly #startedAt: number;

  readonly #queueLimit: number;

  readonly #limit: ConcurrencyLimit;

  readonly #serviceTimes = new ServiceTimes();

  readonly #queue = new AdmissionQueue<WaitingRequest>();

  /** Start times of the requests in flight. */
  readonly #inFlight = new Map<Permit, number>();

  #leaving = false;

  #monitorRunning = false;

  /** Time of the deadline monitor's next check, in monotonic milliseconds. */
  #nextDeadlineCheckAt = Infinity;

  #monitorWake = new AbortController();

  #idleWaiters: (() => void)[] = [];

  constructor(settings: AdaptiveAdmissionSettings) {
    this.#settings = settings;
    this.#clock = settings.clock;
    this.#startedAt = settings.clock.now();
    this.#queueLimit = settings.queueLimit ?? settings.slots * queueEntriesPerSlot;
    const maximum = Math.max(1, Math.min(settings.slots, settings.connections));
    this.#limit = new ConcurrencyLimit(maximum, this.#startedAt);
  }

  admit(request: AdmissionRequest): Promise<AdmissionOutcome> {
    const reason = this.#reasonToRefuse(request);
    if (reason !== undefined) return Promise.resolve({ type: 'refused', reason });
    if (this.#queue.length === 0 && this.#inFlight.size < this.#currentLimit()) {
      return Promise.resolve(this.#dispatch(request));
    }
    return this.#enqueue(request);
  }

  report(): LoadReport {
    return {
      limit: this.#currentLimit(),
      inFlight: this.#inFlight.size,
      queued: this.#queue.length,
      serviceMilliseconds: this.#expectedServiceTime(),
      rampShare: this.#rampShare(),
    };
  }

  stopAdmitting(): void {
    this.#leaving = true;
  }

  waitUntilIdle(): Promise<void> {
    if (this.#isIdle()) return Promise.resolve();
    return new Promise((resolve) => {
      this.#idleWaiters.push(resolve);
    });
  }

  #reasonToRefuse(request: AdmissionRequest): RefusalReason | undefined {
    const now = this.#clock.now();
    if (request.signal.aborted) return 'cancelled';
    if (now >= request.deadline) return 'deadline-passed';
    if (this.#leaving) return 'leaving';
    // Otherwise an overestimated service time would refuse all requests and never be corrected.
    if (this.#isIdle()) return undefined;
    const wait = this.#expectedWait(request);
    const end = now + wait + this.#serviceTimes.expectedFor(request.kind);
    return end > request.deadline ? 'deadline-unreachable' : undefined;
  }

  /** Slots become free at a rate of limit / service time; requests ahead take the first ones. */
  #expectedWait(request: AdmissionRequest): number {
    const limit = this.#currentLimit();
    const ahead = this.#queue.countAhead(request);
    const excess = this.#inFlight.size + ahead + 1 - limit;
    return excess <= 0 ? 0 : (excess * this.#serviceTimes.smoothed) / limit;
  }

  #enqueue(request: AdmissionRequest): Promise<AdmissionOutcome> {
    if (this.#queue.length >= this.#queueLimit) {
      const victim = this.#queue.findVictim(request);
      if (victim === undefined) return Promise.resolve({ type: 'refused', reason: 'queue-full' });
      this.#refuse(victim, 'shed');
    }
    return new Promise((settle) => {
      const waiting: WaitingRequest = {
        request,
        enqueuedAt: this.#clock.now(),
        settle,
        onAbort: () => this.#refuse(waiting, 'cancelled'),
      };
      request.signal.addEventListener('abort', waiting.onAbort, { once: true });
      this.#queue.add(waiting);
      this.#dispatchQueued();
      if (this.#latestStart(request) < this.#nextDeadlineCheckAt) this.#monitorWake.abort();
      this.#startMonitor();
    });
  }

  #refuse(waiting: WaitingRequest, reason: RefusalReason): void {
    if (!this.#queue.remove(waiting)) return;
    waiting.request.signal.removeEventListener('abort', waiting.onAbort);
    waiting.settle({ type: 'refused', reason });
    this.#onQueueChanged();
  }

  #dispatchQueued(): void {
    while (this.#queue.length > 0 && this.#inFlight.size < this.#currentLimit()) {
      const waiting = this.#queue.dequeue();
      if (waiting === undefined) return;
      waiting.request.signal.removeEventListener('abort', waiting.onAbort);
      const reason = this.#reasonNotToRun(waiting.request);
      if (reason === undefined) waiting.settle(this.#dispatch(waiting.request));
      else waiting.settle({ type: 'refused', reason });
    }
    this.#onQueueChanged();
  }

  /** Checks the deadline again at dispatch, since a request that ends too late is wasted work. */
  #reasonNotToRun(request: AdmissionRequest): RefusalReason | undefined {
    const now = this.#clock.now();
    if (now >= request.deadline) return 'deadline-passed';
    if (this.#inFlight.size === 0) return undefined;
    const end = now + this.#serviceTimes.expectedFor(request.kind);
    return end > request.deadline ? 'deadline-unreachable' : undefined;
  }

  #dispatch(request: AdmissionRequest): AdmissionOutcome {
    const permit: Permit = {
      release: (serviceMilliseconds) => this.#release(permit, request, serviceMilliseconds),
    };
    this.#inFlight.set(permit, this.#clock.now());
    this.#queue.countDispatch(request);
    this.#limit.recordDispatch(this.#inFlight.size);
    return { type: 'admitted', permit };
  }

  #release(permit: Permit, request: AdmissionRequest, milliseconds: number | undefined): void {
    if (!this.#inFlight.delete(permit)) return;
    if (milliseconds !== undefined) this.#recordServiceTime(request, milliseconds);
    this.#dispatchQueued();
  }

  #recordServiceTime(request: AdmissionRequest, milliseconds: number): void {
    const unsaturated = this.#inFlight.size < this.#limit.value * unsaturatedShare;
    const now = this.#clock.now();
    const ratio = this.#serviceTimes.record(request.kind, milliseconds, now, unsaturated);
    const factor = this.#limit.recordCompletion(Math.min(ratio, maximumRatio), now);
    if (factor !== 1) this.#serviceTimes.scaleReferences(factor);
  }

  #currentLimit(): number {
    const ramped = Math.floor(this.#settings.slots * this.#rampShare());
    return Math.max(1, Math.min(this.#limit.value, ramped));
  }

  #rampShare(): number {
    const { rampMilliseconds } = this.#settings;
    if (rampMilliseconds <= 0) return 1;
    const progress = Math.min(1, (this.#clock.now() - this.#startedAt) / rampMilliseconds);
    return initialRampShare + (1 - initialRampShare) * progress;
  }

  /**
   * Requests in flight that exceed the smoothed service time raise the estimate, so that reports
   * show a backend server that has stopped answering before its first late answer.
   */
  #expectedServiceTime(): number {
    const { smoothed } = this.#serviceTimes;
    const now = this.#clock.now();
    let sum = smoothed * priorSampleCount;
    for (const startedAt of this.#inFlight.values()) sum += Math.max(smoothed, now - startedAt);
    return sum / (priorSampleCount + this.#inFlight.size);
  }

  #startMonitor(): void {
    if (this.#monitorRunning || this.#queue.length === 0) return;
    this.#monitorRunning = true;
    this.#monitorDeadlines().finally(() => {
      this.#monitorRunning = false;
      this.#startMonitor();
    });
  }

  /** Refuses queued requests that can no longer meet their deadline, even if none completes. */
  async #monitorDeadlines(): Promise<void> {
    while (this.#queue.length > 0) {
      const now = this.#clock.now();
      const next = this.#queue
        .entries()
        .reduce(
          (earliest, { request }) => Math.min(earliest, this.#latestStart(request)),
          Infinity,
        );
      this.#nextDeadlineCheckAt = Math.max(now + minimumMonitorSleepMilliseconds, next);
      this.#monitorWake = new AbortController();
      await this.#clock.sleep(this.#nextDeadlineCheckAt - now, this.#monitorWake.signal);
      this.#nextDeadlineCheckAt = Infinity;
      this.#refuseMissedDeadlines();
      this.#dispatchQueued();
    }
  }

  /** Latest start time at which a request is still expected to meet its deadline. */
  #latestStart(request: AdmissionRequest): number {
    return request.deadline - this.#serviceTimes.expectedFor(request.kind);
  }

  #refuseMissedDeadlines(): void {
    const now = this.#clock.now();
    for (const waiting of this.#queue.entries()) {
      if (now >= waiting.request.deadline) this.#refuse(waiting, 'deadline-passed');
      else if (now > this.#latestStart(waiting.request))
        this.#refuse(waiting, 'deadline-unreachable');
    }
  }

  #isIdle(): boolean {
    return this.#inFlight.size === 0 && this.#queue.length === 0;
  }

  #onQueueChanged(): void {
    // Each abort creates an error with a stack trace, so skip it if the monitor is not running.
    if (this.#queue.length === 0 && this.#monitorRunning) this.#monitorWake.abort();
    if (!this.#isIdle()) return;
    const waiters = this.#idleWaiters;
    this.#idleWaiters = [];
    for (const resolve of waiters) resolve();
  }
}
