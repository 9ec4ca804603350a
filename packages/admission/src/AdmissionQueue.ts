import type { AdmissionRequest } from './AdmissionController.js';

/** A request that waits for a slot. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  /** Monotonic milliseconds. */
  readonly enqueuedAt: number;
}

interface KindQueue<Entry extends QueuedRequest> {
  readonly kind: string;
  weight: number;
  /** Sorted by depth, deepest first, then by weight and deadline. */
  readonly entries: Entry[];
  /** Exponentially decayed number of dispatches. */
  dispatched: number;
}

/**
 * Minimum share of the dispatches for each kind with waiting requests, regardless of its weight.
 * It prevents starvation of low-weight kinds while a high-weight kind saturates the backend server.
 */
const guaranteedShare = 0.05;
/** Factor by which the dispatch counts decay with each new dispatch. */
const dispatchDecay = 0.98;
/** Entries of each kind that are not shed when the queue is full. */
const guaranteedEntries = 1;

/** Waiting requests of one backend server, ordered by depth, weight and deadline. */
export class AdmissionQueue<Entry extends QueuedRequest> {
  readonly #kinds = new Map<string, KindQueue<Entry>>();

  #length = 0;

  #totalDispatched = 0;

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

  /** Removes an entry. Returns `false` if it is not in the queue. */
  remove(entry: Entry): boolean {
    const queue = this.#kinds.get(entry.request.kind);
    const index = queue?.entries.indexOf(entry) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.entries.splice(index, 1);
    this.#length -= 1;
    return true;
  }

  /** Removes and returns the entry to run next. Its dispatch is counted by `countDispatch`. */
  dequeue(): Entry | undefined {
    const starving = this.#starvingKind();
    const entry =
      starving === undefined ? this.#highestPriorityEntry() : earliestDeadline(starving.entries);
    if (entry === undefined) return undefined;
    this.remove(entry);
    return entry;
  }

  /** Counts a dispatched request towards the share of its kind. */
  countDispatch(request: AdmissionRequest): void {
    this.#totalDispatched = 0;
    for (const queue of this.#kinds.values()) {
      queue.dispatched *= dispatchDecay;
      this.#totalDispatched += queue.dispatched;
    }
    this.#kindQueueOf(request).dispatched += 1;
    this.#totalDispatched += 1;
  }

  /** Counts the entries that would run before a request if it were added now. */
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
   * weight. Returns `undefined` if all entries are guaranteed or have at least the same priority.
   */
  findVictim(request: AdmissionRequest): Entry | undefined {
    let victimKind: KindQueue<Entry> | undefined;
    for (const queue of this.#kinds.values()) {
      if (queue.entries.length <= guaranteedEntries) continue;
      if (victimKind === undefined || queue.weight < victimKind.weight) victimKind = queue;
    }
    const victim = victimKind?.entries.at(-1);
    if (victim === undefined) return undefined;
    return this.#isBelowGuarantee(request) || comparePriority(request, victim.request) < 0
      ? victim
      : undefined;
  }

  #isBelowGuarantee(request: AdmissionRequest): boolean {
    const queue = this.#kinds.get(request.kind);
    return queue === undefined || queue.entries.length < guaranteedEntries;
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
      if (queue.dispatched >= guaranteedShare * this.#totalDispatched) continue;
      if (starving === undefined || queue.dispatched < starving.dispatched) starving = queue;
    }
    return starving;
  }

  #highestPriorityEntry(): Entry | undefined {
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

/** Orders deeper calls first: if they fail, the work already done by their callers is lost. */
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
