import { succeed } from '@hickorybridge/types';
import type {
  ControlCallError,
  ControlChannel,
  ControlHandler,
  NodeIdentity,
  Result,
  SocketAddress,
} from '@hickorybridge/types';

/** Answers a node's calls to itself without a connection and passes on all others. */
export class LoopbackChannel implements ControlChannel {
  readonly #channel: ControlChannel;

  readonly #identity: NodeIdentity;

  readonly #handlers = new Map<string, ControlHandler>();

  constructor(channel: ControlChannel, identity: NodeIdentity) {
    this.#channel = channel;
    this.#identity = identity;
  }

  async call(
    nodeId: string,
    name: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ControlCallError>> {
    const handler = nodeId === this.#identity.nodeId ? this.#handlers.get(name) : undefined;
    if (handler !== undefined) return succeed(await handler(body, this.#identity));
    return this.#channel.call(nodeId, name, body, timeoutMilliseconds);
  }

  connect(
    address: SocketAddress,
    timeoutMilliseconds: number,
  ): Promise<Result<NodeIdentity, ControlCallError>> {
    return this.#channel.connect(address, timeoutMilliseconds);
  }

  handle(name: string, handler: ControlHandler): void {
    this.#handlers.set(name, handler);
    this.#channel.handle(name, handler);
  }
}
