import type { NodeIdentity, SocketAddress } from './nodeIdentity.js';
import type { Result } from './result.js';

/** Why a control call failed. After `timeout` the call may still have been handled. */
export type ControlCallError =
  | { readonly type: 'unreachable'; readonly detail: string }
  | { readonly type: 'timeout' }
  | { readonly type: 'rejected'; readonly detail: string };

/** Handles control calls of one name and returns the reply, which must be encodable as CBOR. */
export type ControlHandler = (body: unknown, from: NodeIdentity) => unknown;

/** Remote procedure calls between nodes, over the peer connections. */
export interface ControlChannel {
  /** Calls a node and waits for its reply. Opens a connection if there is none. */
  call(
    nodeId: string,
    name: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ControlCallError>>;
  /** Connects to an address, unless already connected, and returns the identity of its node. */
  connect(
    address: SocketAddress,
    timeoutMilliseconds: number,
  ): Promise<Result<NodeIdentity, ControlCallError>>;
  /** Registers the handler for calls of a name, replacing any earlier one. */
  handle(name: string, handler: ControlHandler): void;
}
