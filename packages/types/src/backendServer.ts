import type { Location } from './location.js';
import type { SocketAddress } from './nodeIdentity.js';

/** Whether a backend server accepts new requests. */
export const BackendServerState = { serving: 'serving', leaving: 'leaving' } as const;

export type BackendServerState = (typeof BackendServerState)[keyof typeof BackendServerState];

/** Registration that a backend server sends to the node on its host. */
export interface Announcement {
  readonly backendServerId: string;
  readonly service: string;
  readonly address: SocketAddress;
  /** Requests that the backend server can process concurrently. */
  readonly slots: number;
  /** Connections that the backend server accepts. */
  readonly connections: number;
  /** Time from the announcement until the backend server is warmed up, in milliseconds. */
  readonly rampMilliseconds: number;
}

/** Directory entry of a backend server, as shared between nodes. */
export interface BackendServerEntry extends Location {
  readonly backendServerId: string;
  readonly service: string;
  readonly nodeId: string;
  /** Incarnation of the node that published the announcement. */
  readonly incarnation: number;
  /** Increases with each change that the node makes to its entries. */
  readonly sequence: number;
  readonly state: BackendServerState;
  readonly slots: number;
  readonly rampMilliseconds: number;
}

/** Health status of a backend server, as decided by its monitoring group. */
export const Verdict = { up: 'up', down: 'down', draining: 'draining' } as const;

export type Verdict = (typeof Verdict)[keyof typeof Verdict];
