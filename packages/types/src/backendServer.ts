import type { Location } from './location.js';
import type { SocketAddress } from './nodeIdentity.js';

/** Whether a backend server takes new work. */
export const BackendServerState = { serving: 'serving', leaving: 'leaving' } as const;

export type BackendServerState = (typeof BackendServerState)[keyof typeof BackendServerState];

/** What a backend server tells the node on its host. */
export interface Announcement {
  readonly backendServerId: string;
  readonly service: string;
  readonly address: SocketAddress;
  /** Requests that the backend server can work on at the same time. */
  readonly slots: number;
  /** Connections that the backend server accepts. */
  readonly connections: number;
  /** Time from the announcement until the backend server is fully warm, in milliseconds. */
  readonly rampMilliseconds: number;
}

/** A backend server as other nodes know it. */
export interface BackendServerEntry extends Location {
  readonly backendServerId: string;
  readonly service: string;
  readonly nodeId: string;
  /** Incarnation of the node that carries the announcement. */
  readonly incarnation: number;
  /** Rises with each change that the node makes to its entries. */
  readonly sequence: number;
  readonly state: BackendServerState;
  readonly slots: number;
  readonly rampMilliseconds: number;
}

/** The monitoring group's judgement of a backend server. */
export const Verdict = { up: 'up', down: 'down', draining: 'draining' } as const;

export type Verdict = (typeof Verdict)[keyof typeof Verdict];
