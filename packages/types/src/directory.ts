import type { BackendServerEntry, Verdict } from './backendServer.js';
import type { SocketAddress } from './nodeIdentity.js';

/** Read access to the backend servers that a node knows. */
export interface BackendServerDirectory {
  /** Lists the backend servers of a service, including those that are leaving. Never blocks. */
  list(service: string): readonly BackendServerEntry[];
  /** Returns the monitoring group's verdict, or `up` if there is none. */
  verdictOf(service: string, backendServerId: string): Verdict;
  /** Returns the peer address of a node, or `undefined` if the node is unknown. */
  peerAddressOf(nodeId: string): SocketAddress | undefined;
}
