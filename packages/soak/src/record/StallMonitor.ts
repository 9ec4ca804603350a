import { monitorEventLoopDelay } from 'node:perf_hooks';

import type { EventRecord } from './EventRecord.js';

const tickMilliseconds = 50;
/** A delay that would change what the checks see. */
const stallMilliseconds = 150;

/** Watches this program's own event loop, so that its delays are not put down to the nodes. */
export class StallMonitor implements AsyncDisposable {
  readonly #delays = monitorEventLoopDelay({ resolution: 10 });

  readonly #timer: NodeJS.Timeout;

  constructor(record: EventRecord) {
    this.#delays.enable();
    let last = performance.now();
    this.#timer = setInterval(() => {
      const now = performance.now();
      const late = Math.round(now - last - tickMilliseconds);
      last = now;
      if (late > stallMilliseconds) record.add({ type: 'rig-stalled', milliseconds: late });
    }, tickMilliseconds);
  }

  /** Delays of the event loop in milliseconds. */
  describe(): { readonly p99: number; readonly longest: number } {
    const milliseconds = (nanoseconds: number) => Math.round(nanoseconds / 1e5) / 10;
    return {
      p99: milliseconds(this.#delays.percentile(99)),
      longest: milliseconds(this.#delays.max),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    this.#delays.disable();
  }
}
