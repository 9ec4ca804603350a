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

/** Settings of the admission side for one backend server. */
export interface AdmissionSettings {
  /** Requests that the backend server can work on at the same time. */
  readonly slots: number;
  /** Connections that the backend server accepts; bounds the limit when smaller than the slots. */
  readonly connections: number;
  /** Time until a cold backend server takes its full share, in milliseconds. */
  readonly rampMilliseconds: number;
  readonly clock: Clock;
  /** Queued requests at most; `queuePlacesPerSlot` times the slots by default. */
  readonly queueLimit?: number | undefined;
}

/** Share of the limit that a cold backend server starts with. */
const initialRampShare = 0.25;
/**
 * Bounds the queue where deadlines are long. A shorter queue refuses in bursts that it could have
 * served in time, and the further tries use up the retry budget.
 */
const queuePlacesPerSlot = 8;
/** Requests of the smoothed service time that unfinished requests are averaged with. */
const stuckPriorSamples = 4;
/** Share of the limit in use up to which service times count as those without saturation. */
const unsaturatedShare = 0.5;
/** Bounds what one very late answer adds to the mean ratio of a window. */
const maximumRatio = 10;
/** Shortest sleep of the queue watch, in milliseconds, so that it cannot spin. */
const minimumWatchSleep = 1;

interface Waiting extends QueuedRequest {
  readonly settle: (outcome: AdmissionOutcome) => void;
  readonly onAbort: () => void;
}

/** Admission with an adaptive concurrency limit and a short queue. */
export class LimitedAdmission implements AdmissionController {
  readonly #settings: AdmissionSettings;

  readonly #clock: Clock;

  readonly #startedAt: number;

  readonly #queueLimit: number;

  readonly #limit: ConcurrencyLimit;

  readonly #serviceTimes = new ServiceTimes();

  readonly #queue = new AdmissionQueue<Waiting>();

  /** Start times of the requests in flight. */
  readonly #inFlight = new Map<Permit, number>();

  #leaving = false;

  #watching = false;

  /** When the queue watch looks next, in monotonic milliseconds. */
  #watchUntil = Infinity;

  #watchWake = new AbortController();

  #idleWaiters: (() => void)[] = [];

  constructor(settings: AdmissionSettings) {
    this.#settings = settings;
    this.#clock = settings.clock;
    this.#startedAt = settings.clock.now();
    this.#queueLimit = settings.queueLimit ?? settings.slots * queuePlacesPerSlot;
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
    // Without this trial a too high estimate would refuse everything and never be corrected.
    if (this.#isIdle()) return undefined;
    const wait = this.#expectedWait(request);
    const end = now + wait + this.#serviceTimes.expectedFor(request.kind);
    return end > request.deadline ? 'deadline-unreachable' : undefined;
  }

  /** Places are freed at the rate limit / service time; those ahead take the first ones. */
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
      const waiting: Waiting = {
        request,
        enqueuedAt: this.#clock.now(),
        settle,
        onAbort: () => this.#refuse(waiting, 'cancelled'),
      };
      request.signal.addEventListener('abort', waiting.onAbort, { once: true });
      this.#queue.add(waiting);
      this.#dispatchQueued();
      if (this.#lastStart(request) < this.#watchUntil) this.#watchWake.abort();
      this.#startWatch();
    });
  }

  #refuse(waiting: Waiting, reason: RefusalReason): void {
    if (!this.#queue.remove(waiting)) return;
    waiting.request.signal.removeEventListener('abort', waiting.onAbort);
    waiting.settle({ type: 'refused', reason });
    this.#queueChanged();
  }

  #dispatchQueued(): void {
    while (this.#queue.length > 0 && this.#inFlight.size < this.#currentLimit()) {
      const waiting = this.#queue.takeNext();
      if (waiting === undefined) return;
      waiting.request.signal.removeEventListener('abort', waiting.onAbort);
      const reason = this.#reasonNotToRun(waiting.request);
      if (reason === undefined) waiting.settle(this.#dispatch(waiting.request));
      else waiting.settle({ type: 'refused', reason });
    }
    this.#queueChanged();
  }

  /** The deadline is checked again at dispatch: a run that ends too late is wasted. */
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
    this.#limit.dispatched(this.#inFlight.size);
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
    const factor = this.#limit.completed(Math.min(ratio, maximumRatio), now);
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
   * Requests that already run longer than the smoothed service time raise the estimate, so that a
   * backend server which stops answering shows in the reports before its first late answer.
   */
  #expectedServiceTime(): number {
    const { smoothed } = this.#serviceTimes;
    const now = this.#clock.now();
    let sum = smoothed * stuckPriorSamples;
    for (const startedAt of this.#inFlight.values()) sum += Math.max(smoothed, now - startedAt);
    return sum / (stuckPriorSamples + this.#inFlight.size);
  }

  #startWatch(): void {
    if (this.#watching || this.#queue.length === 0) return;
    this.#watching = true;
    this.#watchQueue().finally(() => {
      this.#watching = false;
      this.#startWatch();
    });
  }

  /** Refuses queued requests as soon as they cannot meet their deadline, while nothing ends. */
  async #watchQueue(): Promise<void> {
    while (this.#queue.length > 0) {
      const now = this.#clock.now();
      const next = this.#queue
        .entries()
        .reduce((earliest, { request }) => Math.min(earliest, this.#lastStart(request)), Infinity);
      this.#watchUntil = Math.max(now + minimumWatchSleep, next);
      this.#watchWake = new AbortController();
      await this.#clock.sleep(this.#watchUntil - now, this.#watchWake.signal);
      this.#watchUntil = Infinity;
      this.#refuseLate();
      this.#dispatchQueued();
    }
  }

  /** Latest start that still lets a request meet its deadline. */
  #lastStart(request: AdmissionRequest): number {
    return request.deadline - this.#serviceTimes.expectedFor(request.kind);
  }

  #refuseLate(): void {
    const now = this.#clock.now();
    for (const waiting of this.#queue.entries()) {
      if (now >= waiting.request.deadline) this.#refuse(waiting, 'deadline-passed');
      else if (now > this.#lastStart(waiting.request))
        this.#refuse(waiting, 'deadline-unreachable');
    }
  }

  #isIdle(): boolean {
    return this.#inFlight.size === 0 && this.#queue.length === 0;
  }

  #queueChanged(): void {
    // An abort makes an error with a stack each time, also when there is nothing to wake.
    if (this.#queue.length === 0 && this.#watching) this.#watchWake.abort();
    if (!this.#isIdle()) return;
    const waiters = this.#idleWaiters;
    this.#idleWaiters = [];
    for (const resolve of waiters) resolve();
  }
}
