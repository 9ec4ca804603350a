import { onTimeProbability } from '@hickorybridge/utils';

import type { AdmissionRequest } from './AdmissionController.js';

/** A request with its expected duration. */
export interface EstimatedRequest {
  readonly request: AdmissionRequest;
  /** Expected processing time in the backend server, in milliseconds. */
  readonly expectedMilliseconds: number;
}

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

/**
 * Waiting requests of one backend server, ordered by value density: the expected value of serving
 * a request now per slot millisecond. Under overload the newest requests are the most likely to be
 * answered in time, while a first-in-first-out queue would answer all requests late.
 */
export class ValueDensityQueue<Entry extends EstimatedRequest> {
  readonly #entries = new Set<Entry>();

  get length(): number {
    return this.#entries.size;
  }

  /** Counts the entries that can still be answered in time. */
  countTimely(now: number): number {
    let count = 0;
    for (const entry of this.#entries) if (isTimely(entry, now)) count += 1;
    return count;
  }

  /** Lists all entries, in no particular order. */
  entries(): Entry[] {
    return [...this.#entries];
  }

  add(entry: Entry): void {
    this.#entries.add(entry);
  }

  /** Removes an entry. Returns `false` if it is not in the queue. */
  remove(entry: Entry): boolean {
    return this.#entries.delete(entry);
  }

  /** Returns the entry to run next without removing it. */
  findNext(now: number): Entry | undefined {
    let best: Entry | undefined;
    let highestDensity = -Infinity;
    for (const entry of this.#entries) {
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
    const ordered = [...this.#entries]
      .map((entry) => ({ entry, density: valueDensityOf(entry, now) }))
      .sort((first, second) => second.density - first.density);
    let workAhead = snapshot.workInFlight;
    for (const { entry } of ordered) {
      if (wouldStartTooLate(entry, workAhead, snapshot)) unservable.push(entry);
      else workAhead += entry.expectedMilliseconds;
    }
    return unservable;
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
