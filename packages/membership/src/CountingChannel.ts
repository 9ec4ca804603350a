import type {
  ControlCallError,
  ControlChannel,
  ControlHandler,
  NodeIdentity,
  Result,
  SocketAddress,
} from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

/** When a peer last answered, and since when it has not. */
export interface PeerContact {
  /** Monotonic time in milliseconds; `undefined` when the peer has not answered yet. */
  readonly lastAnswerAt: number | undefined;
  /** Monotonic time in milliseconds of the first failure after the last answer. */
  readonly failingSince: number | undefined;
}

/** Settings of a counting channel. */
export interface CountingChannelOptions {
  readonly channel: ControlChannel;
  readonly clock: Pick<Clock, 'now'>;
  /** Size of a message in bytes; by default the length of its JSON. */
  readonly sizeOf?: (body: unknown) => number;
}

/** Counts the calls and bytes of a control channel and remembers which peers answer. */
export class CountingChannel implements ControlChannel {
  readonly #options: CountingChannelOptions;

  readonly #contacts = new Map<string, PeerContact>();

  #bytesSent = 0;

  #bytesReceived = 0;

  #calls = 0;

  #lastContactAt: number | undefined;

  constructor(options: CountingChannelOptions) {
    this.#options = options;
  }

  /** Bytes of calls and replies that were sent. */
  get bytesSent(): number {
    return this.#bytesSent;
  }

  /** Bytes of calls and replies that were received. */
  get bytesReceived(): number {
    return this.#bytesReceived;
  }

  /** Calls that were made. */
  get calls(): number {
    return this.#calls;
  }

  /** Monotonic time of the last answer of any peer, in milliseconds. */
  get lastContactAt(): number | undefined {
    return this.#lastContactAt;
  }

  /** Gives what is known about the contact with a peer. */
  contactOf(nodeId: string): PeerContact | undefined {
    return this.#contacts.get(nodeId);
  }

  /** Tells whether a peer has left all calls unanswered for longer than a time. */
  isFailing(nodeId: string, milliseconds: number): boolean {
    const since = this.#contacts.get(nodeId)?.failingSince;
    return since !== undefined && this.#options.clock.now() - since > milliseconds;
  }

  /** Forgets a peer that is gone. */
  forget(nodeId: string): void {
    this.#contacts.delete(nodeId);
  }

  async call(
    nodeId: string,
    name: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ControlCallError>> {
    const startedAt = this.#options.clock.now();
    this.#calls += 1;
    this.#bytesSent += name.length + this.#sizeOf(body);
    const result = await this.#options.channel.call(nodeId, name, body, timeoutMilliseconds);
    if (result.ok) {
      this.#bytesReceived += this.#sizeOf(result.value);
      this.#noteAnswer(nodeId);
    } else if (result.error.type !== 'rejected') {
      // A rejected call says nothing about the contact: the own budget may have stopped it.
      this.#noteFailure(nodeId, startedAt);
    }
    return result;
  }

  async connect(
    address: SocketAddress,
    timeoutMilliseconds: number,
  ): Promise<Result<NodeIdentity, ControlCallError>> {
    const result = await this.#options.channel.connect(address, timeoutMilliseconds);
    if (result.ok) this.#noteAnswer(result.value.nodeId);
    return result;
  }

  handle(name: string, handler: ControlHandler): void {
    this.#options.channel.handle(name, (body, from) => {
      this.#bytesReceived += name.length + this.#sizeOf(body);
      const reply = handler(body, from);
      this.#bytesSent += this.#sizeOf(reply);
      return reply;
    });
  }

  #noteAnswer(nodeId: string): void {
    const now = this.#options.clock.now();
    this.#lastContactAt = now;
    this.#contacts.set(nodeId, { lastAnswerAt: now, failingSince: undefined });
  }

  #noteFailure(nodeId: string, startedAt: number): void {
    const contact = this.#contacts.get(nodeId);
    if (contact?.failingSince !== undefined) return;
    const lastAnswerAt = contact?.lastAnswerAt;
    this.#contacts.set(nodeId, { lastAnswerAt, failingSince: startedAt });
  }

  #sizeOf(body: unknown): number {
    if (this.#options.sizeOf !== undefined) return this.#options.sizeOf(body);
    return JSON.stringify(body)?.length ?? 0;
  }
}
