import type { BackendServerEntry, Verdict } from './backendServer.js';
import type { SocketAddress } from './nodeIdentity.js';

/** Read access to the backend servers that a node knows. */
export interface BackendServerDirectory {
  /** Lists the backend servers of a service, leaving ones included. Never waits. */
  list(service: string): readonly BackendServerEntry[];
  /** Gives the monitoring group's verdict; a missing verdict is `up`. */
  verdictOf(service: string, backendServerId: string): Verdict;
  /** Gives the peer address of a node, or `undefined` when the node is not known. */
  peerAddressOf(nodeId: string): SocketAddress | undefined;
}
