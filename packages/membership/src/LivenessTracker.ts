import type { ControlChannel, Location, NodeIdentity } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import { encodeHeartbeatReply, heartbeatCallName, parseHeartbeat } from './Heartbeats.js';
import type { NodeIndex } from './NodeIndex.js';
import type { NodeRecord } from './NodeRecord.js';
import { type RoleAssignment, RoleName } from './RoleAssignment.js';

/** Time without a heartbeat after which a node is removed. */
export const heartbeatExpiryMilliseconds = 10_000;

const checkIntervalMilliseconds = 1000;

/** A check that comes this late means that this process was paused. */
const pauseMilliseconds = 3 * checkIntervalMilliseconds;

/** Without a word from any peer for this time, this node is taken to be cut off itself. */
const isolationMilliseconds = 6000;

/** A node that the store answers but no peer for this time takes the peers to be gone after all. */
const soleSurvivorMilliseconds = 60_000;

/** The lease of the roster is renewed every 4 s, so a reachable store has answered within this. */
const storeContactMilliseconds = 10_000;

/** With one peer only, the end of that peer and a cut look alike, and the store decides. */
const pairOfNodes = 2;

const callTimeoutMilliseconds = 1000;
const lastHeardCallName = 'membership/last-heard';

/** The last heartbeat of a node. */
export interface ReceivedHeartbeat {
  /** 0 when there is no deployment in effect there. */
  readonly deploymentNumber: number;
  readonly ageMilliseconds: number;
}

/** Settings of the tracker. */
export interface LivenessTrackerOptions {
  readonly identity: NodeIdentity;
  readonly location: Location;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  readonly index: NodeIndex;
  readonly roles: RoleAssignment;
  /** Number of the deployment in effect here. */
  readonly deploymentNumber: () => number;
  /** Monotonic time of the last answer of any peer, in milliseconds. */
  readonly lastPeerAnswerAt: () => number | undefined;
  /** Monotonic time of the last answer of the store, in milliseconds. */
  readonly lastStoreAnswerAt: () => number | undefined;
  /** Removes nodes from which there is no heartbeat. */
  readonly onExpired: (records: readonly NodeRecord[]) => void;
}

interface SignOfLife {
  readonly at: number;
  /** Deployment number of a heartbeat; absent when the sign was a new record. */
  readonly number?: number;
}

/** The reporter's side of the heartbeats: removes the nodes of its failure domain that are gone. */
export class LivenessTracker {
  readonly #options: LivenessTrackerOptions;

  readonly #heard = new Map<string, SignOfLife>();

  #reporterSince: number | undefined;

  #checkedAt: number;

  constructor(options: LivenessTrackerOptions) {
    this.#options = options;
    this.#checkedAt = options.clock.now();
    const { channel } = options;
    channel.handle(heartbeatCallName, (body, from) => this.#handleHeartbeat(body, from));
    channel.handle(lastHeardCallName, (body) => this.#handleLastHeard(body));
  }

  /** Gives the last heartbeat of a node, when this node receives its heartbeats. */
  heartbeatOf(nodeId: string): ReceivedHeartbeat | undefined {
    const heard = this.#heard.get(nodeId);
    if (heard?.number === undefined) return undefined;
    const ageMilliseconds = this.#options.clock.now() - heard.at;
    // An older one is left over from the time when this node was a reporter.
    if (ageMilliseconds > 2 * heartbeatExpiryMilliseconds) return undefined;
    return { deploymentNumber: heard.number, ageMilliseconds };
  }

  /** A new record is a sign of life as well. */
  noteRecord({ nodeId, failureDomain }: NodeRecord): void {
    if (failureDomain !== this.#options.location.failureDomain) return;
    this.#noteSign(nodeId, this.#options.clock.now(), this.#heard.get(nodeId)?.number);
  }

  /** Drops what is known about a node that was removed. */
  forget(nodeId: string): void {
    this.#heard.delete(nodeId);
  }

  /** Checks for expired nodes each second, while this node is a reporter. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(checkIntervalMilliseconds, signal);
      if (!signal.aborted) await this.#check();
    }
  }

  async #check(): Promise<void> {
    const { clock, roles, onExpired } = this.#options;
    const now = clock.now();
    const paused = now - this.#checkedAt > pauseMilliseconds;
    this.#checkedAt = now;
    if (!roles.holds(RoleName.reporter)) {
      this.#reporterSince = undefined;
      return;
    }
    // After a pause or a cut the next heartbeats are still on their way: everyone gets a new term.
    const isolated = this.#isIsolated(now);
    if (paused || isolated || this.#reporterSince === undefined) this.#reporterSince = now;
    if (this.#expired(now).length === 0) return;
    await this.#askOtherReporter(this.#expired(now));
    const expired = this.#expired(clock.now());
    if (expired.length > 0) onExpired(expired);
  }

  #expired(now: number): NodeRecord[] {
    const { index, location, identity } = this.#options;
    const since = this.#reporterSince ?? now;
    return index.inFailureDomain(location.failureDomain).filter(({ nodeId }) => {
      if (nodeId === identity.nodeId) return false;
      const heardAt = Math.max(since, this.#heard.get(nodeId)?.at ?? 0);
      return now - heardAt > heartbeatExpiryMilliseconds;
    });
  }

  /** A node that hears from no peer must not remove everyone else, even if the store answers. */
  #isIsolated(now: number): boolean {
    const { index, lastPeerAnswerAt, lastStoreAnswerAt } = this.#options;
    const lastHeardAt = Math.max(0, ...[...this.#heard.values()].map(({ at }) => at));
    const silence = now - Math.max(lastPeerAnswerAt() ?? 0, lastHeardAt);
    if (silence <= isolationMilliseconds) return false;
    const storeAnswers = now - (lastStoreAnswerAt() ?? -Infinity) <= storeContactMilliseconds;
    return !(storeAnswers && (index.size <= pairOfNodes || silence > soleSurvivorMilliseconds));
  }

  /** The other reporter may hear a node that a cut separates from this one. */
  async #askOtherReporter(records: readonly NodeRecord[]): Promise<void> {
    const { channel, roles, identity, clock } = this.#options;
    const expired = new Set(records.map(({ nodeId }) => nodeId));
    const other = roles
      .holders(RoleName.reporter)
      .find((nodeId) => nodeId !== identity.nodeId && !expired.has(nodeId));
    if (other === undefined) return;
    const body = { nodeIds: [...expired] };
    const result = await channel.call(other, lastHeardCallName, body, callTimeoutMilliseconds);
    if (!result.ok) return;
    const now = clock.now();
    for (const { nodeId, ageMilliseconds } of parseAges(result.value)) {
      if (!expired.has(nodeId) || ageMilliseconds > heartbeatExpiryMilliseconds) continue;
      this.#noteSign(nodeId, now - ageMilliseconds, this.#heard.get(nodeId)?.number);
    }
  }

  #noteSign(nodeId: string, at: number, number: number | undefined): void {
    this.#heard.set(nodeId, number === undefined ? { at } : { at, number });
  }

  #handleHeartbeat(body: unknown, from: NodeIdentity): readonly number[] {
    const { index, clock, deploymentNumber } = this.#options;
    const message = parseHeartbeat(body);
    const record = index.get(from.nodeId);
    if (record === undefined || record.incarnation <= from.incarnation) {
      this.#noteSign(from.nodeId, clock.now(), message.number);
    }
    const known = record?.incarnation === from.incarnation && record.sequence === message.sequence;
    return encodeHeartbeatReply({ number: deploymentNumber(), known });
  }

  #handleLastHeard(body: unknown): { readonly ages: readonly HeardAge[] } {
    const now = this.#options.clock.now();
    const ages = parseNodeIds(body).flatMap((nodeId) => {
      const heard = this.#heard.get(nodeId);
      return heard === undefined ? [] : [{ nodeId, ageMilliseconds: now - heard.at }];
    });
    return { ages };
  }
}

interface HeardAge {
  readonly nodeId: string;
  readonly ageMilliseconds: number;
}

function parseNodeIds(body: unknown): string[] {
  const nodeIds = (body as { readonly nodeIds?: unknown } | null)?.nodeIds;
  if (!Array.isArray(nodeIds)) return [];
  return nodeIds.filter((item): item is string => typeof item === 'string');
}

function parseAges(body: unknown): HeardAge[] {
  const ages = (body as { readonly ages?: unknown } | null)?.ages;
  if (!Array.isArray(ages)) return [];
  return ages.filter((item): item is HeardAge => {
    const age = item as Partial<HeardAge> | null;
    return typeof age?.nodeId === 'string' && typeof age.ageMilliseconds === 'number';
  });
}
