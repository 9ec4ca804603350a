import type { NodeIdentity, SocketAddress } from './nodeIdentity.js';
import type { Result } from './result.js';

/** Why a control call has no reply. After `timeout` the call may have been handled. */
export type ControlCallError =
  | { readonly type: 'unreachable'; readonly detail: string }
  | { readonly type: 'timeout' }
  | { readonly type: 'rejected'; readonly detail: string };

/** Handles one kind of control call; the returned value (encodable as CBOR) is the reply. */
export type ControlHandler = (body: unknown, from: NodeIdentity) => unknown;

/** Calls by name between nodes, over the peer connections. */
export interface ControlChannel {
  /** Calls a node and waits for its reply. Opens a connection when there is none. */
  call(
    nodeId: string,
    name: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ControlCallError>>;
  /** Opens a connection to an address, if there is none, and tells which node answers there. */
  connect(
    address: SocketAddress,
    timeoutMilliseconds: number,
  ): Promise<Result<NodeIdentity, ControlCallError>>;
  /** Registers the handler of a kind of call. A second handler for a name replaces the first. */
  handle(name: string, handler: ControlHandler): void;
}
