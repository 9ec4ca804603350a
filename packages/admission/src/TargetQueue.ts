import { onTimeProbability } from '@hickorybridge/utils';

import type { AdmissionRequest } from './AdmissionController.js';

/** A request that waits for a slot. */
export interface TargetQueueEntry {
  readonly request: AdmissionRequest;
  /** Time that the backend server is expected to take for it, in milliseconds. */
  readonly expectedMilliseconds: number;
}

/** How busy the backend server is when waiting times are predicted. */
export interface QueueOutlook {
  readonly now: number;
  readonly places: number;
  /** Work that the requests in flight still need, in milliseconds of one slot. */
  readonly workInFlight: number;
  /** Share of the slots' time that timely requests and calls take, from 0 to below 1. */
  readonly timelyShare: number;
}

/** What a late answer is worth, as a share of a timely one. */
const lateValue = 0.25;
/** A request that would be answered before its deadline less often than this is refused. */
const minimumChance = 0.3;
/** A call was made by a request that holds a slot elsewhere until the call ends. */
const minimumChanceOfCall = 0.1;
/** With this chance to be in time a request counts as timely. */
const timelyChance = 0.3;
const minimumExpectedMilliseconds = 1;

/**
 * Waiting requests of one backend server, ordered by what serving them now is worth for each
 * millisecond of a slot. While there are more requests than can be served, those that came last
 * have the best chance to be in time, and a first-in-first-out queue would answer all of them late.
 */
export class TargetQueue<Entry extends TargetQueueEntry> {
  readonly #entries = new Set<Entry>();

  get length(): number {
    return this.#entries.size;
  }

  /** Number of entries that can still be answered in time. */
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

  /** Takes an entry out. Gives `false` when it is not in the queue. */
  remove(entry: Entry): boolean {
    return this.#entries.delete(entry);
  }

  /** Gives the entry that is to run next. */
  findNext(now: number): Entry | undefined {
    let best: Entry | undefined;
    let bestRank = -Infinity;
    for (const entry of this.#entries) {
      const rank = rankOf(entry, now);
      if (rank > bestRank) {
        best = entry;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Lists the entries whose turn would come too late for their deadlines. */
  findUnservable(outlook: QueueOutlook): Entry[] {
    const { now } = outlook;
    const unservable: Entry[] = [];
    const ordered = [...this.#entries]
      .map((entry) => ({ entry, rank: rankOf(entry, now) }))
      .sort((first, second) => second.rank - first.rank);
    let workAhead = outlook.workInFlight;
    for (const { entry } of ordered) {
      if (isUnservable(entry, workAhead, outlook)) unservable.push(entry);
      else workAhead += entry.expectedMilliseconds;
    }
    return unservable;
  }
}

/** Tells whether a request could be answered in time if it started now. */
export function isTimely(
  { expectedMilliseconds, request }: TargetQueueEntry,
  now: number,
): boolean {
  if (request.depth > 0) return true;
  return onTimeProbability(expectedMilliseconds, targetOf(request) - now) >= timelyChance;
}

/** Whether a request that starts at a time would most likely not end before its deadline. */
export function isHopeless(entry: TargetQueueEntry, start: number): boolean {
  const { expectedMilliseconds, request } = entry;
  const chance = onTimeProbability(expectedMilliseconds, request.deadline - start);
  return chance < (request.depth > 0 ? minimumChanceOfCall : minimumChance);
}

function isUnservable(entry: TargetQueueEntry, workAhead: number, outlook: QueueOutlook): boolean {
  const { now, places, timelyShare } = outlook;
  const wait = workAhead / places;
  // Requests that cannot be in time also wait for the timely ones that will come meanwhile.
  const start = now + (isTimely(entry, now) ? wait : wait / (1 - timelyShare));
  return isHopeless(entry, start);
}

/** What serving a request now is worth, for each millisecond of a slot. Calls go first. */
function rankOf({ expectedMilliseconds, request }: TargetQueueEntry, now: number): number {
  if (request.depth > 0) return Number.MAX_VALUE;
  const timely = onTimeProbability(expectedMilliseconds, targetOf(request) - now);
  const served = onTimeProbability(expectedMilliseconds, request.deadline - now);
  const value = request.weight * (lateValue * served + (1 - lateValue) * timely);
  return value / Math.max(minimumExpectedMilliseconds, expectedMilliseconds);
}

function targetOf(request: AdmissionRequest): number {
  return request.usefulUntil ?? request.deadline;
}
