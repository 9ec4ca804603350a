import type { AdmissionRequest } from './AdmissionController.js';

/** A request that waits for a place. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  /** Monotonic milliseconds. */
  readonly enqueuedAt: number;
}

interface KindQueue<Entry extends QueuedRequest> {
  readonly kind: string;
  weight: number;
  /** Deeper first, then by deadline. */
  readonly entries: Entry[];
  /** Decayed number of dispatches. */
  dispatched: number;
}

/**
 * Share of the dispatches that each kind with waiting requests gets, whatever its weight. Without
 * it a kind of low weight would never run while a kind of high weight saturates the backend server.
 */
const guaranteedShare = 0.05;
/** Dispatches over which shares are counted: old ones decay by this factor with each new one. */
const dispatchDecay = 0.98;
/** Places that a kind keeps in a full queue. */
const guaranteedPlaces = 1;

/** Waiting requests of one backend server, ordered by depth, weight and deadline. */
export class AdmissionQueue<Entry extends QueuedRequest> {
  readonly #kinds = new Map<string, KindQueue<Entry>>();

  #length = 0;

  #dispatched = 0;

  get length(): number {
    return this.#length;
  }

  /** Lists all entries, in no particular order. */
  entries(): Entry[] {
    return [...this.#kinds.values()].flatMap((queue) => queue.entries);
  }

  add(entry: Entry): void {
    const queue = this.#kindQueueOf(entry.request);
    queue.weight = entry.request.weight;
    let index = queue.entries.length;
    while (index > 0 && isBefore(entry, queue.entries[index - 1])) index -= 1;
    queue.entries.splice(index, 0, entry);
    this.#length += 1;
  }

  /** Takes an entry out. Gives `false` when it is not in the queue. */
  remove(entry: Entry): boolean {
    const queue = this.#kinds.get(entry.request.kind);
    const index = queue?.entries.indexOf(entry) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.entries.splice(index, 1);
    this.#length -= 1;
    return true;
  }

  /** Takes out the entry that is to run next and counts its dispatch. */
  takeNext(): Entry | undefined {
    const starving = this.#starvingKind();
    const entry = starving === undefined ? this.#best() : earliestDeadline(starving.entries);
    if (entry === undefined) return undefined;
    this.remove(entry);
    return entry;
  }

  /** Counts a request that runs, so that the guaranteed shares are known. */
  countDispatch(request: AdmissionRequest): void {
    this.#dispatched = 0;
    for (const queue of this.#kinds.values()) {
      queue.dispatched *= dispatchDecay;
      this.#dispatched += queue.dispatched;
    }
    this.#kindQueueOf(request).dispatched += 1;
    this.#dispatched += 1;
  }

  /** Counts the entries that would run before a request if it joined now. */
  countAhead(request: AdmissionRequest): number {
    let ahead = 0;
    for (const queue of this.#kinds.values()) {
      for (const entry of queue.entries) {
        if (comparePriority(entry.request, request) <= 0) ahead += 1;
      }
    }
    return ahead;
  }

  /**
   * Finds the entry to shed in favour of a request: the last one of the kind with the lowest
   * weight. Gives `undefined` when every other entry is at least as important or guaranteed.
   */
  findVictim(request: AdmissionRequest): Entry | undefined {
    let victimKind: KindQueue<Entry> | undefined;
    for (const queue of this.#kinds.values()) {
      if (queue.entries.length <= guaranteedPlaces) continue;
      if (victimKind === undefined || queue.weight < victimKind.weight) victimKind = queue;
    }
    const victim = victimKind?.entries.at(-1);
    if (victim === undefined) return undefined;
    return this.#hasGuaranteedPlace(request) || comparePriority(request, victim.request) < 0
      ? victim
      : undefined;
  }

  #hasGuaranteedPlace(request: AdmissionRequest): boolean {
    const queue = this.#kinds.get(request.kind);
    return queue === undefined || queue.entries.length < guaranteedPlaces;
  }

  #kindQueueOf(request: AdmissionRequest): KindQueue<Entry> {
    const known = this.#kinds.get(request.kind);
    if (known !== undefined) return known;
    const queue = { kind: request.kind, weight: request.weight, entries: [], dispatched: 0 };
    this.#kinds.set(request.kind, queue);
    return queue;
  }

  #starvingKind(): KindQueue<Entry> | undefined {
    let starving: KindQueue<Entry> | undefined;
    for (const queue of this.#kinds.values()) {
      if (queue.entries.length === 0) continue;
      if (queue.dispatched >= guaranteedShare * this.#dispatched) continue;
      if (starving === undefined || queue.dispatched < starving.dispatched) starving = queue;
    }
    return starving;
  }

  #best(): Entry | undefined {
    let best: Entry | undefined;
    for (const queue of this.#kinds.values()) {
      const [head] = queue.entries;
      if (head === undefined) continue;
      if (best === undefined || comparePriority(head.request, best.request) < 0) best = head;
    }
    return best;
  }
}

function isBefore(entry: QueuedRequest, other: QueuedRequest | undefined): boolean {
  return other !== undefined && comparePriority(entry.request, other.request) < 0;
}

/** Deeper calls first: the work already done above them is lost when they fail. */
function comparePriority(first: AdmissionRequest, second: AdmissionRequest): number {
  return (
    second.depth - first.depth || second.weight - first.weight || first.deadline - second.deadline
  );
}

function earliestDeadline<Entry extends QueuedRequest>(
  entries: readonly Entry[],
): Entry | undefined {
  return entries.reduce<Entry | undefined>(
    (best, entry) =>
      best === undefined || entry.request.deadline < best.request.deadline ? entry : best,
    undefined,
  );
}
