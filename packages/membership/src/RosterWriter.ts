import { FencedLease, FencedWriter, parseFencedValue } from '@hickorybridge/coordination';
import type { Logger } from '@hickorybridge/logger';
import type { PlatformStore } from '@hickorybridge/store';
import type { Location, NodeIdentity } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import type { NodeIndex } from './NodeIndex.js';
import { type NodeRecord, parseNodeRecord } from './NodeRecord.js';
import { type RoleAssignment, RoleName } from './RoleAssignment.js';

/** Prefix of the rosters in the store; the failure domain follows. */
export const rosterPrefix = 'rosters/';

/** A reporter writes its roster at most once in this time. */
const writeIntervalMilliseconds = 1000;

const leaseMilliseconds = 12_000;
const renewalMilliseconds = 4000;

/** Settings of the roster writer. */
export interface RosterWriterOptions {
  readonly identity: NodeIdentity;
  readonly location: Location;
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly index: NodeIndex;
  readonly roles: RoleAssignment;
  /** Gives a name that no other write uses. */
  readonly createWriteId: () => string;
  /** Takes the roster of another reporter of the same failure domain. */
  readonly onOtherRoster: (records: readonly NodeRecord[]) => void;
}

/** Writes the roster of the failure domain while this node is its first reporter. */
export class RosterWriter {
  readonly #options: RosterWriterOptions;

  readonly #lease: FencedLease;

  readonly #writer: FencedWriter;

  #triedAt: number | undefined;

  #written = '';

  constructor(options: RosterWriterOptions) {
    this.#options = options;
    const { store, clock, identity, location, createWriteId } = options;
    const { failureDomain } = location;
    this.#lease = new FencedLease({
      store,
      clock,
      createWriteId,
      key: `leases/roster-${failureDomain}`,
      holder: `${identity.nodeId}/${identity.incarnation}`,
      durationMilliseconds: leaseMilliseconds,
    });
    this.#writer = new FencedWriter({ store, clock, createWriteId, key: this.#rosterKey });
  }

  /** Whether this node holds the lease, as far as it knows. */
  get holdsLease(): boolean {
    return this.#lease.token !== undefined;
  }

  /** Keeps the lease and writes changes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, roles, identity } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(writeIntervalMilliseconds, signal);
      if (signal.aborted) break;
      if (roles.holders(RoleName.reporter)[0] === identity.nodeId) await this.#perform();
      else if (this.holdsLease) await this.#lease.release();
    }
  }

  /** Gives up the lease, for a node that is leaving. */
  async release(): Promise<void> {
    if (this.holdsLease) await this.#lease.release();
  }

  get #rosterKey(): string {
    return `${rosterPrefix}${this.#options.location.failureDomain}`;
  }

  async #perform(): Promise<void> {
    await this.#keepLease();
    const { token } = this.#lease;
    if (token === undefined) return;
    const { index, location, logger } = this.#options;
    const nodes = index.inFailureDomain(location.failureDomain);
    const fingerprint = describeVersions(token, nodes);
    if (fingerprint === this.#written) return;
    const content = { failureDomain: location.failureDomain, nodes };
    const outcome = await this.#writer.write(token, content);
    if (outcome.type === 'done') this.#written = fingerprint;
    if (outcome.type !== 'fenced') return;
    this.#triedAt = undefined;
    logger.warn('roster-fenced', 'a newer reporter has written the roster; stepping down', {
      ownToken: token,
      standingToken: outcome.token,
    });
  }

  async #keepLease(): Promise<void> {
    const now = this.#options.clock.now();
    if (this.#triedAt !== undefined && now - this.#triedAt < renewalMilliseconds) return;
    this.#triedAt = now;
    const status = await this.#lease.acquireOrRenew();
    // Another reporter that this node does not know: its roster tells of the nodes it knows.
    if (status.type === 'held-by-other') await this.#readOtherRoster();
  }

  async #readOtherRoster(): Promise<void> {
    const read = await this.#options.store.read(this.#rosterKey);
    if (!read.ok || read.value === undefined) return;
    this.#options.onOtherRoster(parseRoster(read.value.value));
  }
}

/** Reads the nodes of a roster from the store's text; malformed nodes are left out. */
export function parseRoster(text: string): NodeRecord[] {
  const content = parseFencedValue(text)?.content as { readonly nodes?: unknown } | undefined;
  if (!Array.isArray(content?.nodes)) return [];
  return content.nodes.flatMap((node) => parseNodeRecord(node) ?? []);
}

function describeVersions(token: number, nodes: readonly NodeRecord[]): string {
  const versions = nodes.map(
    ({ nodeId, incarnation, sequence }) => `${nodeId}:${incarnation}:${sequence}`,
  );
  return `${token} ${versions.sort().join(' ')}`;
}
