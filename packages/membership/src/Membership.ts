import type { AcceptedDeployment } from '@hickorybridge/configuration';
import {
  Disseminator,
  MonotonicRegister,
  type VersionedEntry,
  VersionedTable,
} from '@hickorybridge/coordination';
import { taskFailureLogger } from '@hickorybridge/logger';
import type { StoredObject } from '@hickorybridge/store';
import {
  type Announcement,
  type BackendServerDirectory,
  type BackendServerEntry,
  type SocketAddress,
  Verdict,
} from '@hickorybridge/types';
import { Supervisor } from '@hickorybridge/utils';
import { Bootstrap, currentDeploymentKey } from './Bootstrap.js';
import { CountingChannel } from './CountingChannel.js';
import { FleetInquiry } from './FleetInquiry.js';
import { Heartbeats } from './Heartbeats.js';
import { LivenessTracker } from './LivenessTracker.js';
import { type AnnounceOutcome, LocalAnnouncements } from './LocalAnnouncements.js';
import type { LocalChange, MembershipOptions } from './MembershipOptions.js';
import type { FleetSummary, MembershipSummary, NodeSummary } from './MembershipSummary.js';
import { NeighbourSet } from './NeighbourSet.js';
import { NodeIndex } from './NodeIndex.js';
import {
  deploymentKey,
  nodeKey,
  type NodeRecord,
  objectKey,
  parseDeploymentText,
  parseSharedValue,
  parseVerdicts,
  type ServiceVerdicts,
  type SharedValue,
  verdictsKey,
} from './NodeRecord.js';
import { PacedStore } from './PacedStore.js';
import { RoleAssignment, RoleName } from './RoleAssignment.js';
import { parseRoster, rosterPrefix, RosterWriter } from './RosterWriter.js';
import { deploymentPrefix, StoreWatcher, verdictPrefix } from './StoreWatcher.js';

/** Peers that leave calls unanswered for this long are passed over for roles. */
const failingMilliseconds = 6000;

const housekeepingMilliseconds = 1000;

/** Removed records are kept this long, so that a late copy does not bring a node back. */
const removedRetentionMilliseconds = 600_000;

/** Hears of each deployment that takes effect, in order. */
export type DeploymentListener = (deployment: AcceptedDeployment) => void;

/** What the node knows about the fleet: nodes, backend servers, verdicts and the deployment. */
export class Membership implements BackendServerDirectory, AsyncDisposable {
  readonly #options: MembershipOptions;

  readonly #tasks: Supervisor;

  readonly #store: PacedStore;

  readonly #channel: CountingChannel;

  readonly #announcements: LocalAnnouncements;

  readonly #index = new NodeIndex();

  readonly #table = new VersionedTable<SharedValue>();

  readonly #register = new MonotonicRegister<AcceptedDeployment>(({ number }) => number);

  readonly #verdicts = new Map<string, ServiceVerdicts>();

  readonly #removedAt = new Map<string, number>();

  readonly #sharedPrefixes: readonly string[];

  readonly #objectListeners = new Set<(object: StoredObject) => void>();

  readonly #localListeners = new Set<(change: LocalChange) => void>();

  readonly #supersededListeners = new Set<(incarnation: number) => void>();

  readonly #roles: RoleAssignment;

  readonly #neighbours: NeighbourSet;

  readonly #disseminator: Disseminator<SharedValue>;

  readonly #tracker: LivenessTracker;

  readonly #rosterWriter: RosterWriter;

  readonly #inquiry: FleetInquiry;

  readonly #bootstrap: Bootstrap;

  #sequence = 0;

  #writes = 0;

  #leaving = false;

  #gone = false;

  /** Use `createMembership`. */
  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#sharedPrefixes = options.sharedPrefixes ?? [];
    const { identity, location, clock, logger, random } = options;
    this.#tasks = new Supervisor({
      name: 'membership',
      clock,
      onFailure: taskFailureLogger(logger),
    });
    this.#store = new PacedStore({ store: options.store, clock, random: random.fork() });
    this.#channel = new CountingChannel(options);
    this.#announcements = new LocalAnnouncements(clock);
    const index = this.#index;
    const channel = this.#channel;
    const store = this.#store;
    this.#roles = new RoleAssignment({
      identity,
      location,
      index,
      isFailing: (nodeId) => channel.isFailing(nodeId, failingMilliseconds),
    });
    const roles = this.#roles;
    this.#neighbours = new NeighbourSet({ identity, location, index, clock, random });
    this.#disseminator = new Disseminator<SharedValue>({
      name: 'state',
      table: this.#table,
      channel,
      clock,
      parseValue: parseSharedValue,
      choosePushTargets: (own) => this.#neighbours.choosePushTargets(own),
      chooseExchangePeer: () => this.#neighbours.chooseExchangePeer(),
      onApplied: (entry) => this.#handleApplied(entry),
    });
    const deploymentNumber = () => this.#register.number;
    this.#tracker = new LivenessTracker({
      identity,
      location,
      channel,
      clock,
      index,
      roles,
      deploymentNumber,
      lastPeerAnswerAt: () => channel.lastContactAt,
      lastStoreAnswerAt: () => store.lastAnswerAt,
      onExpired: (records) => this.#removeExpired(records),
    });
    this.#inquiry = new FleetInquiry({
      channel,
      index,
      roles,
      tracker: this.#tracker,
      describeOwn: () => ({
        nodeId: identity.nodeId,
        deploymentNumber: this.#register.number,
        ageMilliseconds: 0,
      }),
    });
    this.#rosterWriter = new RosterWriter({
      identity,
      location,
      store,
      clock,
      logger,
      index,
      roles,
      createWriteId: () => this.#createWriteId(),
      onOtherRoster: (records) => this.#takeRecords(records),
    });
    this.#bootstrap = new Bootstrap({
      ...options,
      store,
      channel,
      index,
      prefixes: [verdictPrefix, ...this.#sharedPrefixes, rosterPrefix],
      deploymentNumber,
      onObjects: (objects) => this.#takeObjects(objects),
      exchangeWith: (nodeId) => this.#disseminator.exchangeWith(nodeId),
      onJoined: () => this.#disseminator.repeat(nodeKey(identity.nodeId)),
    });
  }

  /** Starts the duties. Returns at once; see `ready`. */
  start(): void {
    this.#publishOwn();
    const heartbeats = new Heartbeats({
      channel: this.#channel,
      clock: this.#options.clock,
      roles: this.#roles,
      describe: () => ({ number: this.#register.number, sequence: this.#sequence }),
      onDifference: (nodeId) => this.#disseminator.exchangeWith(nodeId),
    });
    const watcher = new StoreWatcher({
      store: this.#store,
      clock: this.#options.clock,
      logger: this.#options.logger,
      roles: this.#roles,
      startRevision: () => this.#bootstrap.revision,
      onObjects: (objects) => this.#takeObjects(objects),
    });
    this.#tasks.start('bootstrap from the store', (signal) => this.#bootstrap.askStore(signal));
    this.#tasks.start('bootstrap from peers', (signal) => this.#bootstrap.askPeers(signal));
    this.#tasks.start('heartbeats', (signal) => heartbeats.run(signal));
    this.#tasks.start('liveness', (signal) => this.#tracker.run(signal));
    this.#tasks.start('roster', (signal) => this.#rosterWriter.run(signal));
    this.#tasks.start('dissemination', () => this.#disseminator.run());
    this.#tasks.start('housekeeping', (signal) => this.#keepHouse(signal));
    this.#tasks.start('rosters', (signal) => watcher.lookAtRosters(signal));
    const isWatcher = () => this.#roles.holds(RoleName.storeWatcher);
    for (const prefix of [deploymentPrefix, verdictPrefix]) {
      this.#tasks.start(`watch of ${prefix}`, (signal) => watcher.watch(prefix, isWatcher, signal));
    }
    // Larger objects, for which one copy for each failure domain over the link is enough.
    const isFirst = () => this.#roles.holdsFirst(RoleName.storeWatcher);
    for (const prefix of this.#sharedPrefixes) {
      this.#tasks.start(`watch of ${prefix}`, (signal) => watcher.watch(prefix, isFirst, signal));
    }
  }

  /** Whether a deployment is known and confirmed, so that requests may be served. */
  ready(): boolean {
    return this.#bootstrap.finished;
  }

  /** Gives the deployment in effect; `undefined` before the first is known. */
  deployment(): AcceptedDeployment | undefined {
    return this.#register.value;
  }

  /** Calls the listener with each new deployment; the returned function removes it. */
  onDeployment(listener: DeploymentListener): () => void {
    return this.#register.onChange(listener);
  }

  /**
   * Takes note of a peer's deployment number, from a handshake or a heartbeat. Resolves when a
   * higher one was fetched: await it before the next request is routed to that peer.
   */
  async noticeDeploymentNumber(nodeId: string, number: number): Promise<void> {
    if (number > this.#register.number) await this.#disseminator.exchangeWith(nodeId);
  }

  /** Takes the announcement of a backend server on this host, or its renewal. */
  announce(announcement: Announcement): AnnounceOutcome {
    const outcome = this.#announcements.announce(announcement);
    if (outcome === 'renewed' || outcome === 'leaving') return outcome;
    this.#publishOwn();
    this.#tellLocal({ type: 'announced', announcement });
    return outcome;
  }

  /** Marks a backend server as leaving; it gets no new work. False when it is unknown. */
  withdraw(backendServerId: string): boolean {
    if (!this.#announcements.withdraw(backendServerId)) return false;
    this.#publishOwn();
    const announcement = this.#announcements.get(backendServerId);
    if (announcement !== undefined) this.#tellLocal({ type: 'withdrawn', announcement });
    return true;
  }

  /** Drops a backend server, when its drain is complete. False when it is unknown. */
  remove(backendServerId: string): boolean {
    const announcement = this.#announcements.get(backendServerId);
    if (announcement === undefined) return false;
    this.#announcements.remove(backendServerId);
    this.#publishOwn();
    this.#tellLocal({ type: 'removed', announcement });
    return true;
  }

  /** Gives the announcement of a backend server on this host. */
  localAnnouncement(backendServerId: string): Announcement | undefined {
    return this.#announcements.get(backendServerId);
  }

  /** Calls the listener when a backend server on this host changes, lapses included. */
  onLocalChange(listener: (change: LocalChange) => void): () => void {
    this.#localListeners.add(listener);
    return () => this.#localListeners.delete(listener);
  }

  /**
   * Calls the listener when a newer incarnation of this node exists. This process is not heard any
   * more: it should stop, or start again with a higher incarnation than the one given.
   */
  onSuperseded(listener: (incarnation: number) => void): () => void {
    this.#supersededListeners.add(listener);
    return () => this.#supersededListeners.delete(listener);
  }

  /** Calls the listener with each newer object under the shared prefixes. */
  onSharedObject(listener: (object: StoredObject) => void): () => void {
    this.#objectListeners.add(listener);
    return () => this.#objectListeners.delete(listener);
  }

  /** Whether this node holds a role in its failure domain, in its own view. */
  holdsRole(role: RoleName): boolean {
    return this.#roles.holds(role);
  }

  /** Announces that the whole node takes no new work. */
  leaving(): void {
    if (this.#leaving) return;
    this.#leaving = true;
    this.#publishOwn();
  }

  list(service: string): readonly BackendServerEntry[] {
    return this.#index.backendServersOf(service);
  }

  verdictOf(service: string, backendServerId: string): Verdict {
    return this.#verdicts.get(service)?.verdicts.get(backendServerId) ?? Verdict.up;
  }

  peerAddressOf(nodeId: string): SocketAddress | undefined {
    return this.#index.peerAddressOf(nodeId);
  }

  /** Lists the live nodes, this one included. */
  nodes(): readonly NodeRecord[] {
    return this.#index.all();
  }

  /** Gives what this node knows about the fleet, for the operators' status. */
  summary(): MembershipSummary {
    const { identity, location } = this.#options;
    const held = Object.values(RoleName).filter((role) => this.#roles.holds(role));
    return {
      identity,
      location,
      ready: this.ready(),
      deploymentNumber: this.#register.number,
      roles: [...held, ...(this.#rosterWriter.holdsLease ? ['roster-writer'] : [])],
      nodes: this.#index.all().map((record) => this.#summarize(record)),
      storeAvailable: this.#store.available,
      storeCalls: this.#store.calls,
      controlCalls: this.#channel.calls,
      bytesSent: this.#channel.bytesSent,
      bytesReceived: this.#channel.bytesReceived,
    };
  }

  /**
   * Gives the summary with the deployment numbers of all nodes, asked from the reporters of each
   * failure domain. Takes up to two seconds when reporters do not answer.
   */
  async fleetSummary(): Promise<FleetSummary> {
    const { contacts, unreachableFailureDomains } = await this.#inquiry.ask();
    const byNode = new Map(contacts.map((contact) => [contact.nodeId, contact]));
    const summary = this.summary();
    const nodes = summary.nodes.map((node): NodeSummary => {
      const contact = byNode.get(node.nodeId);
      if (contact === undefined) return node;
      const { deploymentNumber, ageMilliseconds } = contact;
      return { ...node, deploymentNumber, lastContactMilliseconds: ageMilliseconds };
    });
    return { ...summary, nodes, unreachableFailureDomains };
  }

  /** Tells the peers that this node is gone and stops all duties. */
  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#gone) return;
    this.#gone = true;
    if (this.#sequence > 0) {
      const record = this.#makeOwnRecord(this.#sequence + 1);
      this.#disseminator.publish(makeRemoval(record));
      await this.#disseminator.flush();
      await this.#rosterWriter.release();
    }
    await this.#disseminator[Symbol.asyncDispose]();
    await this.#store[Symbol.asyncDispose]();
    await this.#tasks[Symbol.asyncDispose]();
  }

  #publishOwn(): void {
    if (this.#gone) return;
    const { identity } = this.#options;
    const held = this.#table.get(nodeKey(identity.nodeId))?.version;
    if (held !== undefined && held.major > identity.incarnation) return;
    const heldSequence = held?.major === identity.incarnation ? held.minor : 0;
    this.#sequence = nextLiveSequence(Math.max(this.#sequence, heldSequence));
    const record = this.#makeOwnRecord(this.#sequence);
    this.#disseminator.publish(makeEntry(record));
  }

  #makeOwnRecord(sequence: number): NodeRecord {
    const { identity, location, peerAddress, operatorsAddress } = this.#options;
    return {
      nodeId: identity.nodeId,
      incarnation: identity.incarnation,
      sequence,
      region: location.region,
      failureDomain: location.failureDomain,
      peerAddress,
      operatorsAddress,
      leaving: this.#leaving,
      backendServers: this.#announcements.describe(),
    };
  }

  #handleApplied(entry: VersionedEntry<SharedValue>): void {
    const { value } = entry;
    switch (value.type) {
      case 'node':
        this.#handleNode(entry, value.record);
        break;
      case 'deployment':
        this.#takeDeployment(value.deployment);
        break;
      case 'object':
        for (const listener of this.#objectListeners) listener(value.object);
        break;
      case 'verdicts':
        this.#verdicts.set(value.object.service, parseVerdicts(value.object));
        break;
      default:
        value satisfies never;
    }
  }

  #handleNode(entry: VersionedEntry<SharedValue>, record: NodeRecord): void {
    if (record.nodeId === this.#options.identity.nodeId) this.#checkOwnEntry(entry);
    if (entry.removed) {
      this.#index.remove(record.nodeId);
      this.#tracker.forget(record.nodeId);
      this.#channel.forget(record.nodeId);
      this.#removedAt.set(entry.key, this.#options.clock.now());
      return;
    }
    this.#removedAt.delete(entry.key);
    this.#index.put(record);
    this.#tracker.noteRecord(record);
  }

  /** Peers may hold a removal, or an entry of another process with the same name. */
  #checkOwnEntry({ version }: VersionedEntry<SharedValue>): void {
    const { identity, logger } = this.#options;
    if (version.major > identity.incarnation) {
      logger.error('node-superseded', 'a newer incarnation of this node exists', {
        ownIncarnation: identity.incarnation,
        newerIncarnation: version.major,
      });
      for (const listener of this.#supersededListeners) listener(version.major);
      return;
    }
    if (version.major < identity.incarnation || version.minor <= this.#sequence) return;
    // The table takes the answer after it has taken this entry.
    queueMicrotask(() => this.#publishOwn());
  }

  #takeDeployment(deployment: AcceptedDeployment): void {
    const outcome = this.#register.offer(deployment);
    if (outcome !== 'accepted') return;
    const { number, applyId } = deployment;
    this.#options.logger.info('deployment-in-effect', `deployment ${number} is in effect`, {
      number,
      applyId,
    });
  }

  #takeObjects(objects: readonly StoredObject[]): void {
    for (const object of objects) this.#takeObject(object);
  }

  #takeObject(object: StoredObject): void {
    if (object.key === currentDeploymentKey) this.#takeDeploymentObject(object);
    else if (object.key.startsWith(verdictPrefix)) this.#takeVerdictObject(object);
    else if (object.key.startsWith(rosterPrefix)) this.#takeRecords(parseRoster(object.value));
    else this.#takeSharedObject(object);
  }

  #takeSharedObject(object: StoredObject): void {
    this.#disseminator.publish({
      key: objectKey(object.key),
      version: { major: object.version, minor: 0 },
      removed: false,
      value: { type: 'object', object },
    });
  }

  #takeDeploymentObject(object: StoredObject): void {
    const deployment = parseDeploymentText(object.value);
    if (deployment === undefined) {
      this.#options.logger.error(
        'deployment-malformed',
        `the store's object ${object.key}, version ${object.version}, is no accepted deployment`,
      );
      return;
    }
    this.#disseminator.publish({
      key: deploymentKey,
      version: { major: deployment.number, minor: 0 },
      removed: false,
      value: { type: 'deployment', deployment },
    });
  }

  #takeVerdictObject({ key, value, version }: StoredObject): void {
    const service = key.slice(verdictPrefix.length);
    this.#disseminator.publish({
      key: verdictsKey(service),
      version: { major: version, minor: 0 },
      removed: false,
      value: { type: 'verdicts', object: { service, version, text: value } },
    });
  }

  /** Takes the nodes of a roster. They are not pushed: the peers exchange them as they meet. */
  #takeRecords(records: readonly NodeRecord[]): void {
    for (const record of records) {
      const entry = makeEntry(record);
      if (this.#table.apply(entry)) this.#handleApplied(entry);
    }
  }

  #removeExpired(records: readonly NodeRecord[]): void {
    for (const record of records) {
      this.#options.logger.info('node-removed', `no heartbeat from ${record.nodeId}; removing it`, {
        nodeId: record.nodeId,
        incarnation: record.incarnation,
      });
      this.#disseminator.publish(makeRemoval({ ...record, sequence: record.sequence + 1 }));
    }
  }

  async #keepHouse(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(housekeepingMilliseconds, signal);
      if (signal.aborted) return;
      this.#dropLapsed();
      this.#forgetRemoved();
    }
  }

  #dropLapsed(): void {
    const lapsed = this.#announcements.dropLapsed(housekeepingMilliseconds);
    if (lapsed.length === 0) return;
    this.#publishOwn();
    for (const announcement of lapsed) this.#tellLocal({ type: 'lapsed', announcement });
  }

  #forgetRemoved(): void {
    const now = this.#options.clock.now();
    for (const [key, removedAt] of this.#removedAt) {
      if (now - removedAt < removedRetentionMilliseconds) continue;
      this.#removedAt.delete(key);
      this.#table.forget(key);
    }
  }

  #tellLocal(change: LocalChange): void {
    for (const listener of this.#localListeners) listener(change);
  }

  #createWriteId(): string {
    const { nodeId, incarnation } = this.#options.identity;
    this.#writes += 1;
    return `${nodeId}/${incarnation}/${this.#writes}`;
  }

  #summarize(record: NodeRecord): NodeSummary {
    const { nodeId } = record;
    const own = nodeId === this.#options.identity.nodeId;
    return {
      nodeId,
      incarnation: record.incarnation,
      region: record.region,
      failureDomain: record.failureDomain,
      operatorsAddress: record.operatorsAddress,
      leaving: record.leaving,
      backendServers: record.backendServers.length,
      deploymentNumber: own
        ? this.#register.number
        : this.#tracker.heartbeatOf(nodeId)?.deploymentNumber,
      lastContactMilliseconds: own ? 0 : this.#ageOfContact(nodeId),
    };
  }

  #ageOfContact(nodeId: string): number | undefined {
    const answeredAt = this.#channel.contactOf(nodeId)?.lastAnswerAt;
    const ages = [
      this.#tracker.heartbeatOf(nodeId)?.ageMilliseconds,
      answeredAt === undefined ? undefined : this.#options.clock.now() - answeredAt,
    ].filter((age) => age !== undefined);
    return ages.length === 0 ? undefined : Math.round(Math.min(...ages));
  }
}

/** Makes the membership of a node. Call `start` once the peers can reach the node. */
export function createMembership(options: MembershipOptions): Membership {
  return new Membership(options);
}

// A live record has an odd sequence and its removal the even one above, so that a removal beats the
// record it was made for, and the next change of a live node beats the removal.

function nextLiveSequence(sequence: number): number {
  return sequence % 2 === 0 ? sequence + 1 : sequence + 2;
}

function makeEntry(record: NodeRecord): VersionedEntry<SharedValue> {
  return {
    key: nodeKey(record.nodeId),
    version: { major: record.incarnation, minor: record.sequence },
    removed: false,
    value: { type: 'node', record },
  };
}

function makeRemoval(record: NodeRecord): VersionedEntry<SharedValue> {
  const emptied = { ...record, backendServers: [] };
  return { ...makeEntry(emptied), removed: true };
}
