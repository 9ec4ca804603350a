/** Slots of a backend server with a first-in, first-out queue. */
export class SlotPool {
  #size: number;

  #used = 0;

  readonly #queue: (() => void)[] = [];

  constructor(size: number) {
    this.#size = size;
  }

  get used(): number {
    return this.#used;
  }

  get queued(): number {
    return this.#queue.length;
  }

  /** Changes the number of slots; requests that run keep theirs. */
  resize(size: number): void {
    this.#size = Math.max(1, size);
    this.#admit();
  }

  /** Waits for a slot; `false` when the signal aborts first. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    if (this.#used < this.#size) {
      this.#used += 1;
      return true;
    }
    return new Promise((resolve) => {
      const queue = this.#queue;
      function enter() {
        signal.removeEventListener('abort', leave);
        resolve(true);
      }
      function leave() {
        queue.splice(queue.indexOf(enter), 1);
        resolve(false);
      }
      queue.push(enter);
      signal.addEventListener('abort', leave, { once: true });
    });
  }

  release(): void {
    this.#used -= 1;
    this.#admit();
  }

  #admit(): void {
    while (this.#used < this.#size) {
      const enter = this.#queue.shift();
      if (enter === undefined) return;
      this.#used += 1;
      enter();
    }
  }
}
