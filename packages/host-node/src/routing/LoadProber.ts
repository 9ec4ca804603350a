import type { TimerClock } from '@hickorybridge/utils';

export interface LoadProberOptions {
  /**
   * Asks a node for its load; `handleReport` is called when the answer arrives. Returns false when
   * the node would not answer.
   */
  readonly requestLoad: (nodeId: string) => boolean;
  readonly clock: TimerClock;
}

/**
 * A host in the same region answers within about 2 ms. A host that takes longer is busy or has a
 * slow node, so the request goes to a host that has answered.
 */
const probeTimeoutMilliseconds = 10;

interface PendingProbe {
  readonly sentAt: number;
  /** Called when the host answers. */
  readonly listeners: (() => void)[];
}

/** Asks hosts for their load just before a request is routed. */
export class LoadProber {
  readonly #options: LoadProberOptions;

  readonly #pending = new Map<string, PendingProbe>();

  constructor(options: LoadProberOptions) {
    this.#options = options;
  }

  /**
   * Waits until all these hosts have reported their load or the probe times out. Returns the hosts
   * that were asked; the others use an older version of the protocol.
   */
  async probe(nodeIds: readonly string[]): Promise<ReadonlySet<string>> {
    const probes = new Map<string, PendingProbe>();
    for (const nodeId of nodeIds) {
      const probe = this.#probeHost(nodeId);
      if (probe !== undefined) probes.set(nodeId, probe);
    }
    if (probes.size > 0) await this.#waitFor([...probes.values()]);
    return new Set(probes.keys());
  }

  /** Completes the pending probe of a host that has reported its load. */
  handleReport(nodeId: string): void {
    const pending = this.#pending.get(nodeId);
    if (pending === undefined) return;
    this.#pending.delete(nodeId);
    for (const listener of pending.listeners) listener();
  }

  #waitFor(probes: readonly PendingProbe[]): Promise<void> {
    return new Promise((resolve) => {
      let missing = probes.length;
      const cancelTimeout = this.#options.clock.schedule(probeTimeoutMilliseconds, resolve);
      const onAnswer = () => {
        missing -= 1;
        if (missing > 0) return;
        cancelTimeout();
        resolve();
      };
      for (const { listeners } of probes) listeners.push(onAnswer);
    });
  }

  /** Probes one host, or joins a probe that has not timed out yet. */
  #probeHost(nodeId: string): PendingProbe | undefined {
    const { clock, requestLoad } = this.#options;
    const now = clock.now();
    const known = this.#pending.get(nodeId);
    if (known !== undefined && now - known.sentAt < probeTimeoutMilliseconds) return known;
    const probe: PendingProbe = { sentAt: now, listeners: [] };
    this.#pending.set(nodeId, probe);
    if (requestLoad(nodeId)) return probe;
    this.#pending.delete(nodeId);
    return undefined;
  }
}
