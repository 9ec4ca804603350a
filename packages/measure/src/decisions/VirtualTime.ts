import type { Clock } from '@hickorybridge/utils';

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Microtask turns after each event, so that code that awaits a promise runs at the same time. */
const microtaskTurns = 6;

/** Event queue of a model, and the clock that the code under measurement sees. */
export class VirtualTime implements Clock {
  readonly #heap: ScheduledEvent[] = [];

  #now = 0;

  #sequence = 0;

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      this.after(milliseconds, resolve);
      signal?.addEventListener('abort', () => resolve(), { once: true });
    });
  }

  /** Runs an action after a delay in milliseconds. */
  after(delay: number, run: () => void): void {
    this.at(this.#now + delay, run);
  }

  /** Runs an action at a time in milliseconds. */
  at(time: number, run: () => void): void {
    this.#sequence += 1;
    this.#heap.push({ at: time, sequence: this.#sequence, run });
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs all events in the order of time. */
  async run(): Promise<void> {
    for (let event = this.#pop(); event !== undefined; event = this.#pop()) {
      this.#now = event.at;
      event.run();
      for (let turn = 0; turn < microtaskTurns; turn += 1) await undefined;
    }
  }

  #pop(): ScheduledEvent | undefined {
    const [first] = this.#heap;
    const last = this.#heap.pop();
    if (first === undefined || last === undefined) return undefined;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
    return first;
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#isBefore(index, parent)) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const smaller = this.#isBefore(left + 1, left) ? left + 1 : left;
      if (!this.#isBefore(smaller, index)) return;
      this.#swap(index, smaller);
      index = smaller;
    }
  }

  #isBefore(first: number, second: number): boolean {
    const one = this.#heap[first];
    const other = this.#heap[second];
    if (one === undefined || other === undefined) return false;
    return one.at < other.at || (one.at === other.at && one.sequence < other.sequence);
  }

  #swap(first: number, second: number): void {
    const one = this.#heap[first];
    const other = this.#heap[second];
    if (one === undefined || other === undefined) return;
    this.#heap[first] = other;
    this.#heap[second] = one;
  }
}
