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
const longestWaitMilliseconds = 10;

interface Pending {
  readonly askedAt: number;
  readonly answered: Promise<void>;
  readonly settle: () => void;
}

/** Asks hosts for their load right before a request is sent. */
export class LoadProber {
  readonly #options: LoadProberOptions;

  readonly #pending = new Map<string, Pending>();

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
      const answer = this.#ask(nodeId);
      if (answer !== undefined) answers.set(nodeId, answer);
    }
    const asked = new Set(answers.keys());
    if (asked.size === 0) return asked;
    const done = new AbortController();
    const timeout = this.#options.clock.sleep(longestWaitMilliseconds, done.signal);
    await Promise.race([Promise.all(answers.values()), timeout]);
    done.abort();
    return asked;
  }

  /** A host has told its load. */
  handleReport(nodeId: string): void {
    const pending = this.#pending.get(nodeId);
    if (pending === undefined) return;
    this.#pending.delete(nodeId);
    pending.settle();
  }

  /** Asks one host, unless it was asked just now. */
  #ask(nodeId: string): Promise<void> | undefined {
    const { clock, requestLoad: request } = this.#options;
    const now = clock.now();
    const known = this.#pending.get(nodeId);
    if (known !== undefined && now - known.askedAt < longestWaitMilliseconds) return known.answered;
    if (!request(nodeId)) return undefined;
    let settle = known?.settle ?? (() => {});
    let answered = known?.answered;
    answered ??= new Promise<void>((resolve) => {
      settle = resolve;
    });
    this.#pending.set(nodeId, { askedAt: now, answered, settle });
    return answered;
  }
}
