import type { Clock } from '@hickorybridge/utils';

/** What asking for loads needs. */
export interface LoadProberOptions {
  /** Asks a node for its load; `reported` is called when it comes. False when it would not answer. */
  readonly requestLoad: (nodeId: string) => boolean;
  readonly clock: Clock;
}

/**
 * A host in the region answers within about 2 ms. One that takes longer is busy itself, or its node
 * is slow, and the request goes to one that has answered.
 */
const probeTimeoutMilliseconds = 10;

interface PendingProbe {
  readonly sentAt: number;
  readonly answered: Promise<void>;
  readonly settle: () => void;
}

/** Asks hosts for their load right before a request is sent. */
export class LoadProber {
  readonly #options: LoadProberOptions;

  readonly #pending = new Map<string, PendingProbe>();

  constructor(options: LoadProberOptions) {
    this.#options = options;
  }

  /**
   * Waits until all these hosts have told their load, but not for long. Gives those that were asked;
   * others speak an older version of the protocol.
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

  /** A host has told its load. */
  handleReport(nodeId: string): void {
    const pending = this.#pending.get(nodeId);
    if (pending === undefined) return;
    this.#pending.delete(nodeId);
    pending.settle();
  }

  /** Asks one host, unless it was asked just now. */
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
