import { onTimeProbability } from '@hickorybridge/utils';

import type { AdmissionRequest } from './AdmissionController.js';
import type { EstimatedRequest } from './EstimatedRequest.js';
import { KindTargets } from './KindTargets.js';
import { compareServiceRanks, type ServiceRank } from './ServiceRank.js';
import { TenantServiceOrder } from './TenantServiceOrder.js';

/** Load of the backend server from which waiting times are predicted. */
export interface LoadSnapshot {
  readonly now: number;
  readonly concurrencyLimit: number;
  /** Remaining work of the requests in flight, in slot milliseconds. */
  readonly workInFlight: number;
  /** Share of the slots that timely requests and calls use, from 0 to below 1. */
  readonly timelyUtilization: number;
}

/** Value of a late answer relative to a timely one. */
const lateAnswerValue = 0.25;
/** A request is refused if its probability of meeting the deadline is lower than this. */
const minimumProbability = 0.3;
/** Lower for calls, since the request that made the call holds a slot elsewhere until it ends. */
const minimumCallProbability = 0.1;
/** A request counts as timely from this probability of an answer within its target time. */
const timelyProbability = 0.3;
const minimumExpectedMilliseconds = 1;
/** Up to this length the queue is sorted for each new request with a tenant. */
const shortQueueLength = 32;
/** Delays a refusal by less than the sweep of the controller does. */
const predictionIntervalMilliseconds = 10;

/**
 * Waiting requests of one backend server, ordered by value density: the expected value of serving
 * a request now per slot millisecond. Under overload the newest requests are the most likely to be
 * answered in time, while a first-in-first-out queue would answer all requests late. While requests
 * with a tenant wait, `TenantServiceOrder` decides instead.
 */
export class ValueDensityQueue<Entry extends EstimatedRequest> {
  /** The target latency of each entry's kind, in milliseconds. */
  readonly #entries = new Map<Entry, number>();

  readonly #kindTargets = new KindTargets();

  readonly #tenantOrder: TenantServiceOrder;

  #predictedAt = -Infinity;

  /** Number of entries with a tenant. */
  #tenantEntries = 0;

  constructor(tenantOrder = new TenantServiceOrder()) {
    this.#tenantOrder = tenantOrder;
  }

  get length(): number {
    return this.#entries.size;
  }

  /** Counts the entries that can still be answered in time. */
  countTimely(now: number): number {
    let count = 0;
    for (const entry of this.#entries.keys()) if (isTimely(entry, now)) count += 1;
    return count;
  }

  /** Lists all entries, in no particular order. */
  entries(): Entry[] {
    return [...this.#entries.keys()];
  }

  add(entry: Entry, now: number): void {
    const { request } = entry;
    this.#entries.set(entry, this.#kindTargets.record(request.kind, targetOf(request) - now));
    if (entry.request.tenant !== undefined) this.#tenantEntries += 1;
  }

  /** Removes an entry. Returns `false` if it is not in the queue. */
  remove(entry: Entry): boolean {
    const isRemoved = this.#entries.delete(entry);
    if (isRemoved && entry.request.tenant !== undefined) this.#tenantEntries -= 1;
    return isRemoved;
  }

  /** Records a request that gets a slot, after its removal from the queue. */
  recordServed(entry: EstimatedRequest, now: number): void {
    this.#tenantOrder.recordServed(entry, this.#entries.size === 0, now);
  }

  /** Records a request that has left its slot after the given time. */
  recordFinished(entry: EstimatedRequest, milliseconds: number, now: number): void {
    this.#tenantOrder.recordFinished(entry, milliseconds, now);
  }

  /** Records a request that was refused for lack of a slot. */
  recordRefused(request: AdmissionRequest, now: number): void {
    this.#tenantOrder.recordRefused(request, now);
  }

  /** Returns the entry to run next without removing it. */
  findNext(now: number): Entry | undefined {
    if (this.#tenantEntries > 0) return this.#findNextByRank(now);
    let best: Entry | undefined;
    let highestDensity = -Infinity;
    for (const entry of this.#entries.keys()) {
      const density = valueDensityOf(entry, now);
      if (density > highestDensity) {
        best = entry;
        highestDensity = density;
      }
    }
    return best;
  }

  /** Lists the entries that are predicted to start too late to meet their deadlines. */
  findUnservable(snapshot: LoadSnapshot): Entry[] {
    const { now } = snapshot;
    const unservable: Entry[] = [];
    if (!this.#isPredictionDue(now)) return unservable;
    this.#predictedAt = now;
    const ordered = this.#tenantEntries > 0 ? this.#sortByRank(now) : this.#sortByDensity(now);
    let workAhead = snapshot.workInFlight;
    for (const { entry } of ordered) {
      if (wouldStartTooLate(entry, workAhead, snapshot)) unservable.push(entry);
      else workAhead += entry.expectedMilliseconds;
    }
    return unservable;
  }

  /** Whether to predict again; a long queue with tenants is sorted at most once in an interval. */
  #isPredictionDue(now: number): boolean {
    if (this.#tenantEntries === 0 || this.#entries.size <= shortQueueLength) return true;
    return now - this.#predictedAt >= predictionIntervalMilliseconds;
  }

  #sortByDensity(now: number): { entry: Entry }[] {
    return [...this.#entries.keys()]
      .map((entry) => ({ entry, density: valueDensityOf(entry, now) }))
      .sort((first, second) => second.density - first.density);
  }

  #sortByRank(now: number): { entry: Entry }[] {
    const ranked = [...this.#entries].map(([entry, target]) => ({
      entry,
      rank: this.#rankOf(entry, target, now),
    }));
    return this.#tenantOrder.sort(ranked, now);
  }

  #findNextByRank(now: number): Entry | undefined {
    let best: Entry | undefined;
    let bestRank: ServiceRank | undefined;
    let lowestRound = Infinity;
    for (const [entry, target] of this.#entries) {
      const rank = this.#rankOf(entry, target, now);
      if (!rank.isCall) lowestRound = Math.min(lowestRound, rank.round);
      if (bestRank === undefined || compareServiceRanks(rank, bestRank) < 0) {
        best = entry;
        bestRank = rank;
      }
    }
    if (lowestRound < Infinity) this.#tenantOrder.advanceTo(lowestRound);
    return best;
  }

  #rankOf(entry: Entry, targetMilliseconds: number, now: number): ServiceRank {
    const density = valueDensityOf(entry, now);
    return this.#tenantOrder.rank({ request: entry.request, density, targetMilliseconds, now });
  }
}

/** Whether a request is likely to be answered in time if it starts now. Calls always count. */
export function isTimely(
  { expectedMilliseconds, request }: EstimatedRequest,
  now: number,
): boolean {
  if (request.depth > 0) return true;
  return onTimeProbability(expectedMilliseconds, targetOf(request) - now) >= timelyProbability;
}

/** Whether a request started at the given time is unlikely to end before its deadline. */
export function isUnlikelyToMeetDeadline(entry: EstimatedRequest, start: number): boolean {
  const { expectedMilliseconds, request } = entry;
  const probability = onTimeProbability(expectedMilliseconds, request.deadline - start);
  return probability < (request.depth > 0 ? minimumCallProbability : minimumProbability);
}

function wouldStartTooLate(
  entry: EstimatedRequest,
  workAhead: number,
  snapshot: LoadSnapshot,
): boolean {
  const { now, concurrencyLimit, timelyUtilization } = snapshot;
  const wait = workAhead / concurrencyLimit;
  // Requests that are already late also wait for timely ones that arrive in the meantime.
  const start = now + (isTimely(entry, now) ? wait : wait / (1 - timelyUtilization));
  return isUnlikelyToMeetDeadline(entry, start);
}

/** Expected value of serving a request now, per slot millisecond. Calls come first. */
function valueDensityOf({ expectedMilliseconds, request }: EstimatedRequest, now: number): number {
  if (request.depth > 0) return Number.MAX_VALUE;
  const timely = onTimeProbability(expectedMilliseconds, targetOf(request) - now);
  const served = onTimeProbability(expectedMilliseconds, request.deadline - now);
  const value = request.weight * (lateAnswerValue * served + (1 - lateAnswerValue) * timely);
  return value / Math.max(minimumExpectedMilliseconds, expectedMilliseconds);
}

function targetOf(request: AdmissionRequest): number {
  return request.usefulUntil ?? request.deadline;
}
