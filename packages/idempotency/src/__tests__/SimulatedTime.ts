/** A step to be run at a time. */
export interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time: runs timers in order, and lets all promises settle in between. */
export class SimulatedTime {
  now = 0;

  #timers: Timer[] = [];

  #order = 0;

  after(milliseconds: number, run: () => void): Timer {
    const timer = { at: this.now + Math.max(0, milliseconds), order: this.#order, run };
    this.#order += 1;
    this.#timers.push(timer);
    return timer;
  }

  cancel(timer: Timer): void {
    this.#timers = this.#timers.filter((other) => other !== timer);
  }

  /** Advances until `until`. */
  async advance(milliseconds: number): Promise<void> {
    const until = this.now + milliseconds;
    await settle();
    for (;;) {
      const next = this.#takeNext(until);
      if (next === undefined) break;
      this.now = next.at;
      next.run();
      await settle();
    }
    this.now = until;
  }

  #takeNext(until: number): Timer | undefined {
    let best: Timer | undefined;
    for (const timer of this.#timers) {
      if (timer.at > until) continue;
      if (best === undefined || timer.at < best.at) best = timer;
      else if (timer.at === best.at && timer.order < best.order) best = timer;
    }
    if (best !== undefined) this.cancel(best);
    return best;
  }
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}
