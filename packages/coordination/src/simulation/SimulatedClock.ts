import { setImmediate as nextEventLoopTurn } from 'node:timers/promises';
import type { TimerClock } from '@hickorybridge/utils';

interface Timer {
  readonly dueAt: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

/** Initial wall-clock time, in milliseconds since the Unix epoch: 2026-01-01. */
const initialWallTimeMilliseconds = 1_767_225_600_000;

/** A clock that advances only on request, so that a test of hours takes seconds. */
export class SimulatedClock implements TimerClock {
  /** Binary min-heap, ordered by due time and then by creation. */
  readonly #heap: Timer[] = [];

  #now = 0;

  #order = 0;

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return initialWallTimeMilliseconds + Math.floor(this.#now);
  }

  async sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return;
    await new Promise<void>((resolve) => {
      const wake = () => {
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      signal?.addEventListener('abort', wake, { once: true });
      this.schedule(milliseconds, wake);
    });
  }

  schedule(milliseconds: number, callback: () => void): () => void {
    const dueAt = this.#now + Math.max(0, milliseconds);
    const timer: Timer = { dueAt, order: this.#order, callback };
    this.#order += 1;
    this.#push(timer);
    return () => {
      timer.callback = undefined;
    };
  }

  /** Advances the time and runs the callbacks that become due, in order. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds;
    await nextEventLoopTurn();
    for (;;) {
      const next = this.#heap[0];
      if (next === undefined || next.dueAt > end) break;
      this.#now = Math.max(this.#now, next.dueAt);
      while (this.#heap[0] !== undefined && this.#heap[0].dueAt <= this.#now)
        this.#pop()?.callback?.();
      await nextEventLoopTurn();
    }
    this.#now = end;
  }

  /**
   * Advances the time in steps until a condition holds; returns the elapsed time, or `undefined` at
   * the limit.
   */
  async advanceUntil(
    condition: () => boolean,
    limitMilliseconds: number,
    stepMilliseconds = 10,
  ): Promise<number | undefined> {
    const startedAt = this.#now;
    while (!condition()) {
      if (this.#now - startedAt >= limitMilliseconds) return undefined;
      await this.advance(stepMilliseconds);
    }
    return this.#now - startedAt;
  }

  #push(timer: Timer): void {
    const heap = this.#heap;
    let child = heap.push(timer) - 1;
    while (child > 0) {
      const parent = Math.floor((child - 1) / 2);
      if (!this.#isBefore(child, parent)) return;
      this.#swap(child, parent);
      child = parent;
    }
  }

  #pop(): Timer | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (heap.length === 0 || last === undefined) return first;
    heap[0] = last;
    let parent = 0;
    for (;;) {
      const left = parent * 2 + 1;
      if (left >= heap.length) return first;
      const right = left + 1;
      const child = right < heap.length && this.#isBefore(right, left) ? right : left;
      if (!this.#isBefore(child, parent)) return first;
      this.#swap(child, parent);
      parent = child;
    }
  }

  #isBefore(first: number, second: number): boolean {
    const one = this.#heap[first];
    const other = this.#heap[second];
    if (one === undefined || other === undefined) return false;
    return one.dueAt < other.dueAt || (one.dueAt === other.dueAt && one.order < other.order);
  }

  #swap(first: number, second: number): void {
    const one = this.#heap[first];
    const other = this.#heap[second];
    if (one === undefined || other === undefined) return;
    this.#heap[first] = other;
    this.#heap[second] = one;
  }
}
