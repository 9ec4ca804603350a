import type { SimulatedClock } from '@hickorybridge/coordination';
import { fail, succeed } from '@hickorybridge/types';
import type { ControlCallError, ControlChannel, Result } from '@hickorybridge/types';
import type { RandomSource } from '@hickorybridge/utils';

import type { SimulatedProcess } from './SimulatedProcess.js';

/** Faults of the network; probabilities are from 0 to 1. */
export interface NetworkFaults {
  loss: number;
  duplication: number;
  /** Longest delay of a message, in milliseconds; delays are random, so messages are reordered. */
  longestDelay: number;
}

/** Carries control calls between simulated processes, badly. */
export class SimulatedNetwork {
  readonly faults: NetworkFaults = { loss: 0, duplication: 0, longestDelay: 1 };

  /** Directed cuts, as `FROM>TO`. */
  readonly cuts = new Set<string>();

  /** Calls that were sent, by name. */
  readonly calls = new Map<string, number>();

  /** Is shown each call before it is sent; lets a test act at a certain step. */
  onCall: ((name: string, from: string, to: string) => void) | undefined;

  /** Is shown each reply before it is sent. */
  onReply: ((reply: unknown) => void) | undefined;

  readonly #processes = new Map<string, SimulatedProcess>();

  constructor(
    readonly time: SimulatedClock,
    readonly random: RandomSource,
  ) {}

  register(process: SimulatedProcess): ControlChannel {
    this.#processes.set(process.identity.nodeId, process);
    return {
      call: (nodeId, name, body, timeout) => this.#call(process, nodeId, name, body, timeout),
      connect: async () => fail({ type: 'unreachable', detail: 'not simulated' }),
      handle: (name, handler) => {
        process.handlers.set(name, handler);
      },
    };
  }

  #call(
    from: SimulatedProcess,
    to: string,
    name: string,
    body: unknown,
    timeout: number,
  ): Promise<Result<unknown, ControlCallError>> {
    this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
    this.onCall?.(name, from.identity.nodeId, to);
    return new Promise((resolve) => {
      const finish = (result: Result<unknown, ControlCallError>): void =>
        from.whenRunning(() => resolve(result));
      const copy = structuredClone(body);
      this.#deliver(from.identity.nodeId, to, () => this.#handle(from, to, name, copy, finish));
      this.time.sleep(timeout).then(() => finish(fail({ type: 'timeout' })));
    });
  }

  #handle(
    from: SimulatedProcess,
    to: string,
    name: string,
    body: unknown,
    finish: (result: Result<unknown, ControlCallError>) => void,
  ): void {
    const receiver = this.#processes.get(to);
    receiver?.whenRunning(() => {
      const handler = receiver.handlers.get(name);
      if (handler === undefined) return;
      const reply = structuredClone(handler(body, from.identity));
      this.onReply?.(reply);
      this.#deliver(to, from.identity.nodeId, () => finish(succeed(reply)));
    });
  }

  #deliver(from: string, to: string, arrive: () => void): void {
    const copies = this.random.next() < this.faults.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random.next() < this.faults.loss) continue;
      this.time.sleep(this.random.next() * this.faults.longestDelay).then(() => {
        if (!this.cuts.has(`${from}>${to}`)) arrive();
      });
    }
  }
}
