import type { AdmissionRequest } from './AdmissionController.js';

/** A request that waits for a slot. */
export interface TargetQueueEntry {
  readonly request: AdmissionRequest;
  /** Time that the backend server is expected to take for it, in milliseconds. */
  readonly expectedMilliseconds: number;
}

/** What a waiting request can still achieve; the smaller rank runs first. */
const Rank = {
  /** A call of a request that holds a slot elsewhere, which stays busy until the call ends. */
  call: 0,
  /** Can be answered while the answer is fully useful. */
  timely: 1,
  /** Can only be answered late. */
  late: 2,
} as const;

type Rank = (typeof Rank)[keyof typeof Rank];

/** How busy the backend server is when waiting times are predicted. */
export interface QueueOutlook {
  readonly now: number;
  readonly places: number;
  /** Work that the requests in flight still need, in milliseconds of one slot. */
  readonly workInFlight: number;
  /** Share of the slots' time that timely requests and calls take, from 0 to below 1. */
  readonly timelyShare: number;
}

/**
 * Waiting requests of one backend server, in the order in which they are worth running. In an
 * overload this serves requests that can still be in time before those that are late already,
 * where a first-in-first-out queue would answer all of them late.
 */
export class TargetQueue<Entry extends TargetQueueEntry> {
  readonly #entries = new Set<Entry>();

  get length(): number {
    return this.#entries.size;
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

  /** Takes out the entry that is to run next. */
  takeNext(now: number): Entry | undefined {
    let best: Entry | undefined;
    for (const entry of this.#entries) {
      if (best === undefined || compare(entry, best, now) < 0) best = entry;
    }
    if (best !== undefined) this.#entries.delete(best);
    return best;
  }

  /** Lists the entries whose turn would come too late for their deadlines. */
  findUnservable(outlook: QueueOutlook): Entry[] {
    const unservable: Entry[] = [];
    const { now } = outlook;
    const ordered = [...this.#entries].sort((first, second) => compare(first, second, now));
    let workAhead = outlook.workInFlight;
    for (const entry of ordered) {
      if (isUnservable(entry, workAhead, outlook)) unservable.push(entry);
      else workAhead += entry.expectedMilliseconds;
    }
    return unservable;
  }

  /** Predicts how long a request would wait if it joined now, in milliseconds. */
  predictWait(entry: TargetQueueEntry, outlook: QueueOutlook): number {
    let workAhead = outlook.workInFlight;
    for (const other of this.#entries) {
      if (compare(other, entry, outlook.now) <= 0) workAhead += other.expectedMilliseconds;
    }
    return waitFor(entry, workAhead, outlook);
  }
}

function isUnservable(entry: TargetQueueEntry, workAhead: number, outlook: QueueOutlook): boolean {
  const start = outlook.now + waitFor(entry, workAhead, outlook);
  return start + entry.expectedMilliseconds > entry.request.deadline;
}

/** Late requests also wait for the timely ones that will come meanwhile. */
function waitFor(entry: TargetQueueEntry, workAhead: number, outlook: QueueOutlook): number {
  const wait = workAhead / outlook.places;
  return rankOf(entry, outlook.now) === Rank.late ? wait / (1 - outlook.timelyShare) : wait;
}

function rankOf({ request, expectedMilliseconds }: TargetQueueEntry, now: number): Rank {
  if (request.depth > 0) return Rank.call;
  return now + expectedMilliseconds <= (request.usefulUntil ?? request.deadline)
    ? Rank.timely
    : Rank.late;
}

/** Tells whether a request could be answered in time if it started now. */
export function isTimely(entry: TargetQueueEntry, now: number): boolean {
  return rankOf(entry, now) !== Rank.late;
}

function compare(first: TargetQueueEntry, second: TargetQueueEntry, now: number): number {
  const rank = rankOf(first, now);
  return (
    rank - rankOf(second, now) ||
    second.request.weight - first.request.weight ||
    dueAt(first.request, rank) - dueAt(second.request, rank)
  );
}

function dueAt(request: AdmissionRequest, rank: Rank): number {
  return rank === Rank.late ? request.deadline : (request.usefulUntil ?? request.deadline);
}
