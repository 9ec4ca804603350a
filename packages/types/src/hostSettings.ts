import type { Location } from './location.js';
import type { SocketAddress } from './nodeIdentity.js';

/** Settings that a node reads from its own host, before it contacts the store or other nodes. */
export interface HostSettings {
  readonly nodeId: string;
  /** IP address of the host. */
  readonly address: string;
  readonly location: Location;
  /** Service of the backend server on this host. */
  readonly service: string;
  readonly backendServerAddress: SocketAddress;
  readonly listeners: HostListeners;
  /** For how long a starting node tries addresses again that cannot be listened on. */
  readonly listenRetryMilliseconds: number;
  readonly store: SocketAddress;
  readonly bounds: HostBounds;
  /** Usual time between two reports of a backend server; absent if the platform does not state it. */
  readonly reportIntervalMilliseconds?: number;
  /** Memory that the process may use, in bytes; absent if not limited. */
  readonly memoryBytes?: number;
  /** File descriptors that the process may use; absent if not limited. */
  readonly maxDescriptors?: number;
  /**
   * Work of hedged requests as a share of the work of all requests, from 0 to 1: one for all
   * services, or one for each service by name. Absent if the setting is not in the file.
   */
  readonly hedgeShare?: number | ReadonlyMap<string, number>;
}

/** The addresses on which a node listens. */
export interface HostListeners {
  /** For callers on this host. */
  readonly callers: SocketAddress;
  /** For reports from the backend server on this host. */
  readonly reports: SocketAddress;
  readonly readiness: SocketAddress;
  /** For other nodes. */
  readonly peers: SocketAddress;
  /** For metrics. */
  readonly metrics: SocketAddress;
}

/** Limits that the platform sets, in milliseconds unless stated otherwise. */
export interface HostBounds {
  /** From acknowledging that a backend server is leaving to the last new request sent to it. */
  readonly drainMilliseconds: number;
  /** From acknowledging a configuration to its use by every node. */
  readonly configurationMilliseconds: number;
  /** From the stop signal to the exit of the process. */
  readonly graceMilliseconds: number;
  /** Retry budget: retried requests as a share of all requests, across all nodes. */
  readonly retryShare: number;
  /** Retries that are allowed per window regardless of load, across all nodes. */
  readonly retrySlack: number;
  readonly retryWindowMilliseconds: number;
  /** Tolerance of the tenants' quotas; absent if the platform does not check them. */
  readonly quota?: QuotaBounds;
  /** Tolerance of the rate limit of cold backend servers; absent if it is not checked. */
  readonly cold?: ColdBounds;
  /** From acknowledging an evacuation to the last request; absent if there are no evacuations. */
  readonly evacuationMilliseconds?: number;
}

/**
 * In any span of the window, a tenant's requests across all nodes may reach
 * `(rate * window + burst) * (1 + overShare) + slack`.
 */
export interface QuotaBounds {
  readonly windowMilliseconds: number;
  readonly overShare: number;
  readonly slack: number;
}

/** In any second, a cold backend server may get `rate * overFactor + slack` requests. */
export interface ColdBounds {
  readonly overFactor: number;
  readonly slack: number;
}

/** Status report of a backend server to the node on its host. */
export interface BackendServerReport {
  readonly backendServerId: string;
  readonly service: string;
  readonly address: SocketAddress;
  readonly failureDomain: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Increases with each report of one incarnation. */
  readonly sequence: number;
  /** Remaining cold-start time, in milliseconds. */
  readonly coldMilliseconds: number;
  /** Start of the incarnation, in milliseconds since the Unix epoch; 0 if not reported. */
  readonly startedAt: number;
}

/** A host as published to all nodes: its node and its backend server. */
export interface HostEntry {
  readonly nodeId: string;
  readonly peerAddress: SocketAddress;
  readonly location: Location;
  readonly service: string;
  readonly backendServerId: string;
  readonly slots: number;
  /** Start of the backend server, in milliseconds since the Unix epoch; absent if not known. */
  readonly startedAt?: number;
  /** True once the backend server accepts no new requests. */
  readonly leaving: boolean;
}
