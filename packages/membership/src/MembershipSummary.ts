import type { Location, NodeIdentity, SocketAddress } from '@hickorybridge/types';

/** A node as the operators' status shows it. */
export interface NodeSummary extends Location {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly operatorsAddress: SocketAddress;
  readonly leaving: boolean;
  /** Number of announced backend servers. */
  readonly backendServers: number;
  /** Number of its deployment when it was last heard; absent when this node does not hear it. */
  readonly deploymentNumber?: number | undefined;
  /** Time since it was last heard; absent when this node has no contact with it. */
  readonly lastContactMilliseconds?: number | undefined;
}

/** What a node knows about the fleet. */
export interface MembershipSummary {
  readonly identity: NodeIdentity;
  readonly location: Location;
  readonly ready: boolean;
  /** 0 when there is no deployment yet. */
  readonly deploymentNumber: number;
  /** Roles that this node holds, in its own view. */
  readonly roles: readonly string[];
  readonly nodes: readonly NodeSummary[];
  readonly storeAvailable: boolean;
  /** Totals since the start of the process. */
  readonly storeCalls: number;
  readonly controlCalls: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}

/** What the reporters of all failure domains know about the fleet. */
export interface FleetSummary extends MembershipSummary {
  /** Failure domains whose nodes cannot be confirmed, because no reporter there answers. */
  readonly unreachableFailureDomains: readonly string[];
}
