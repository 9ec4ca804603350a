import type { Clock } from '@hickorybridge/utils';

export interface LoadProberOptions {
  /**
   * Asks a node for its load; `handleReport` is called when the answer arrives. Returns false when
   * the node would not answer.
   */
  readonly requestLoad: (nodeId: string) => boolean;
  readonly clock: Clock;
}

/**
 * A host in the same region answers within about 2 ms. A host that takes longer is busy or has a
 * slow node, so the request goes to a host that has answered.
 */
const probeTimeoutMilliseconds = 10;

interface PendingProbe {
  readonly sentAt: number;
  readonly answered: Promise<void>;
  readonly settle: () => void;
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
    const answers = new Map<string, Promise<void>>();
    for (const nodeId of nodeIds) {
      const answer = this.#probeHost(nodeId);
      if (answer !== undefined) answers.set(nodeId, answer);
    }
    const probed = new Set(answers.keys());
    if (probed.size === 0) return probed;
    const done = new AbortController();
    const timeout = this.#options.clock.sleep(probeTimeoutMilliseconds, done.signal);
    await Promise.race([Promise.all(answers.values()), timeout]);
    done.abort();
    return probed;
  }

  /** Completes the pending probe of a host that has reported its load. */
  handleReport(nodeId: string): void {
    const pending = this.#pending.get(nodeId);
    if (pending === undefined) return;
    this.#pending.delete(nodeId);
    pending.settle();
  }

  /** Probes one host, or joins a probe that has not timed out yet. */
  #probeHost(nodeId: string): Promise<void> | undefined {
    const { clock, requestLoad } = this.#options;
    const now = clock.now();
    const known = this.#pending.get(nodeId);
    if (known !== undefined && now - known.sentAt < probeTimeoutMilliseconds) return known.answered;
    if (!requestLoad(nodeId)) return undefined;
    let settle = known?.settle ?? (() => {});
    let answered = known?.answered;
    answered ??= new Promise<void>((resolve) => {
      settle = resolve;
    });
    this.#pending.set(nodeId, { sentAt: now, answered, settle });
    return answered;
  }
}
