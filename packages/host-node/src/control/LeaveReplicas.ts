import type { ConnectedPeer } from '@hickorybridge/peer-protocol';
import type { ControlChannel, HostEntry } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { Leave } from '../backend/Leave.js';

export interface LeaveReplicasOptions {
  readonly channel: Pick<ControlChannel, 'call' | 'handle'>;
  readonly connectedPeers: () => readonly Pick<ConnectedPeer, 'nodeId'>[];
  /** What the store was last seen to hold for a host. */
  readonly storedEntry: (nodeId: string) => HostEntry | undefined;
  /** Called with the leave of this host's backend server that a peer has held. */
  readonly onReturned: (leave: Leave) => void;
  readonly clock: Pick<Clock, 'sleep'>;
}

const holdCall = 'leaves/hold';
const returnCall = 'leaves/return';
const returnTimeoutMilliseconds = 1000;

/**
 * Leaves that the store does not hold yet, replicated to peers. A node that acknowledges a leave
 * while the store is away and is killed gets it back from the first of these peers that connects.
 */
export class LeaveReplicas {
  readonly #options: LeaveReplicasOptions;

  /** Leaves of other hosts' backend servers, by the node of the host. */
  readonly #held = new Map<string, Leave>();

  constructor(options: LeaveReplicasOptions) {
    this.#options = options;
    const { channel, onReturned } = options;
    channel.handle(holdCall, (body, { nodeId }) => {
      const leave = parseLeave(body);
      if (leave !== undefined) this.#held.set(nodeId, leave);
      return {};
    });
    channel.handle(returnCall, (body) => {
      const leave = parseLeave(body);
      if (leave !== undefined) onReturned(leave);
      return {};
    });
  }

  /** Waits until a peer holds the leave, but not longer than the limit. */
  async replicate({ backendServerId, startedAt }: Leave, limitMilliseconds: number): Promise<void> {
    const { channel, clock, connectedPeers } = this.#options;
    const peers = connectedPeers();
    if (peers.length === 0) return;
    const isHeld = new AbortController();
    const hold = async (nodeId: string) => {
      const body = { backendServerId, startedAt };
      const reply = await channel.call(nodeId, holdCall, body, limitMilliseconds);
      if (reply.ok) isHeld.abort();
    };
    for (const { nodeId } of peers) hold(nodeId);
    await clock.sleep(limitMilliseconds, isHeld.signal);
  }

  /** Returns its leave to a peer that has connected, if that still concerns its backend server. */
  handleConnected(nodeId: string): void {
    const leave = this.#held.get(nodeId);
    if (leave === undefined) return;
    if (this.#isOutdated(nodeId, leave)) this.#held.delete(nodeId);
    else this.#options.channel.call(nodeId, returnCall, leave, returnTimeoutMilliseconds);
  }

  /** Drops the leaves that the store holds, and those of hosts and backend servers that are gone. */
  prune(): void {
    for (const [nodeId, leave] of this.#held) {
      if (this.#isOutdated(nodeId, leave)) this.#held.delete(nodeId);
    }
  }

  /** Whether the store holds the leave or a later backend server, or does not list the host. */
  #isOutdated(nodeId: string, { backendServerId, startedAt }: Leave): boolean {
    const entry = this.#options.storedEntry(nodeId);
    if (entry === undefined || entry.leaving) return true;
    const { startedAt: storedStart = 0 } = entry;
    if (entry.backendServerId !== backendServerId) return storedStart >= startedAt;
    // A backend server may start again under its id.
    return startedAt > 0 && storedStart > startedAt;
  }
}

/** Parses a leave; `undefined` if it is malformed. */
function parseLeave(body: unknown): Leave | undefined {
  if (typeof body !== 'object' || body === null) return undefined;
  const { backendServerId, startedAt } = body as Readonly<Record<string, unknown>>;
  if (typeof backendServerId !== 'string' || !Number.isSafeInteger(startedAt)) return undefined;
  return { backendServerId, startedAt: startedAt as number };
}
