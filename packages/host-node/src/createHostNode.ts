import {
  BrokerMembership,
  DocumentExchange,
  Quotas,
  type VersionedDocument,
} from '@hickorybridge/coordination';
import { taskFailureLogger, type Logger } from '@hickorybridge/logger';
import {
  HostDirectory,
  hostPrefix,
  HostRegistration,
  StoreFollower,
  StoreWatchers,
} from '@hickorybridge/membership';
import {
  PeerPool,
  type ExecutionOutcome,
  type PeerLiveness,
  type RequestExecutor,
} from '@hickorybridge/peer-protocol';
import {
  configurationPrefix,
  evacuationPrefix,
  ObjectStore,
  readinessPath,
} from '@hickorybridge/platform';
import {
  findRegionSets,
  HostSelector,
  HostSubset,
  RequestHedging,
  RouteWorkEstimator,
  type RegionSet,
} from '@hickorybridge/routing';
import type { WatchResult } from '@hickorybridge/store';
import {
  ConnectionAccount,
  HostSpeedModel,
  StallDetector,
  Supervisor,
  type RandomSource,
  type TimerClock,
} from '@hickorybridge/utils';

import { BackendServerRegistry } from './backend/BackendServerRegistry.js';
import { isServing } from './backend/isServing.js';
import { CallersListener } from './callers/CallersListener.js';
import { clientLimits } from './callers/clientLimits.js';
import { ConfigurationReceiver, ConfigurationSource } from './control/ConfigurationReceiver.js';
import { ConfigurationPeerSelector } from './control/ConfigurationPeerSelector.js';
import { EvacuationReader } from './control/EvacuationReader.js';
import { Evacuations } from './control/Evacuations.js';
import { LeaveReplicas } from './control/LeaveReplicas.js';
import { OccupancyReporter } from './control/OccupancyReporter.js';
import { PeerConnectionManager } from './control/PeerConnectionManager.js';
import { ReportsListener } from './control/ReportsListener.js';
import { TenantDirectory } from './control/TenantDirectory.js';
import type { SettingsSource } from './control/SettingsFile.js';
import { StatusListener } from './control/StatusListener.js';
import { HostNode } from './HostNode.js';
import { NodeTelemetry } from './NodeTelemetry.js';
import { HostChoice } from './routing/HostChoice.js';
import { LoadProber } from './routing/LoadProber.js';
import { RequestRouter } from './routing/RequestRouter.js';
import type { SendToHost } from './routing/RequestRun.js';

/** The settings and the environment of a node. */
export interface CreateHostNodeOptions {
  readonly settings: SettingsSource;
  readonly clock: TimerClock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

// Each store call is charged for, and a watch that sees no change is only renewed after this time.
const configurationWaitMilliseconds = 25_000;
// A second watch accepts stale data, at a tenth of the price. It delivers a configuration within
// seconds when the connection of the first watch has gone silent or the store was unavailable.
const configurationCheckWaitMilliseconds = 3000;
// Without an answer for longer than this, the connection of the second watch counts as silent.
const maxCheckAgeMilliseconds = configurationCheckWaitMilliseconds + 1500;
// Shares of the time within which a configuration must be in force: the interval at which peers are
// asked, and the age of the last confirmation by a peer after which the node watches the store itself.
// The remaining time is for reading the configuration.
const configurationAskIntervalShare = 0.2;
// The node beside a backend server needs only one answer in time, and evacuations are rare.
const evacuationAskIntervalShare = 0.4;
const maxExchangeAgeShare = 0.55;
// Spreads the store calls of nodes in a region that lose all their watchers at the same time.
const maxExchangeAgeJitterShare = 0.1;
// The list of hosts may be stale: a new host merely gets its first requests a little later, and one
// that leaves refuses requests itself.
const hostsWaitMilliseconds = 15_000;
const configurationPauseMilliseconds = 100;
// In a large fleet, a release changes several entries a second, each of which wakes every node.
const hostsPauseMilliseconds = 1000;

// Together the longest delay of the acknowledgement of a leave. A backend server waits 1 s for it.
const leaveWriteMilliseconds = 400;
const leaveReplicationMilliseconds = 300;

// A request to a host that has become unreachable must be retried within its target latency.
const liveness: PeerLiveness = {
  heartbeatWhenWaitingMilliseconds: 250,
  heartbeatWhenIdleMilliseconds: 10_000,
  silenceLimitMilliseconds: 700,
  closeAfterMilliseconds: 10_000,
  tickMilliseconds: 100,
};

/** Creates a node and connects its components. Its listeners stay closed until it is started. */
export function createHostNode(options: CreateHostNodeOptions): HostNode {
  const { clock, logger, random, settings } = options;
  const { bounds, location, nodeId, store: storeAddress } = settings.current;
  let quotas: Quotas | undefined;
  const telemetry = new NodeTelemetry(logger, () => quotas?.counts);
  const account = new ConnectionAccount({
    ...clientLimits(settings.current),
    onEvicted: (listener, reason) => telemetry.recordEviction(listener, reason),
    clock,
  });
  telemetry.observe(account);
  const followers: StoreFollower[] = [];
  const store = new ObjectStore(storeAddress, {
    count: (operation, result) => telemetry.recordStoreCall(operation, result),
    // Connections go silent together, and a watch would notice it only at the end of its wait.
    onSilent: () => followers.forEach((follower) => follower.renew()),
    // Watches that still wait would miss what the store has lost.
    onRestored: (era) => {
      logger.warn('store-restored', 'the store was restored from an older copy', { era });
      followers.forEach((follower) => follower.renew());
    },
  });
  const directory = new HostDirectory(logger);
  const speed = new HostSpeedModel();
  const subset = new HostSubset(nodeId, location, () => directory.list());
  let evacuations: Evacuations | undefined;
  const isEvacuated = (failureDomain: string) => evacuations?.has(failureDomain) === true;
  let node: HostNode;
  let router: RequestRouter;
  let choice: HostChoice;
  let loadProber: LoadProber;
  let leaveReplicas: LeaveReplicas;
  let exchange: DocumentExchange;
  let configurationFollower: StoreFollower;
  let configurationCheck: StoreFollower;
  let connectionManager: PeerConnectionManager;
  let regionSets: ReadonlyMap<string, readonly RegionSet[]> = new Map();
  const backendServers = new BackendServerRegistry({
    isLocalReport: ({ address, service }) => {
      const { backendServerAddress, service: ownService } = settings.current;
      return (
        service === ownService &&
        address.host === backendServerAddress.host &&
        address.port === backendServerAddress.port
      );
    },
    maxConnectionsOf: (service) =>
      router.configuration?.services.get(service)?.maxConnections ?? Infinity,
    coldLimitOf: (service) => {
      const definition = router.configuration?.services.get(service);
      const { coldMilliseconds = 0, coldRequestsPerSecond } = definition ?? {};
      if (bounds.cold === undefined || coldRequestsPerSecond === undefined) return undefined;
      return {
        ...bounds.cold,
        requestsPerSecond: coldRequestsPerSecond,
        startMilliseconds: coldMilliseconds,
      };
    },
    drainMilliseconds: bounds.drainMilliseconds,
    isServing: async ({ address, backendServerId, service }) => {
      const path = router.configuration?.services.get(service)?.healthPath;
      return path !== undefined && isServing({ address, backendServerId, path });
    },
    reportIntervalMilliseconds: settings.current.reportIntervalMilliseconds ?? 0,
    reasonToRefuse: () => evacuations?.reasonToRefuse(location.failureDomain),
    onCurrentChanged: () => node.register(),
    speed,
    clock,
    logger,
  });
  const executor: RequestExecutor = {
    execute: (head, body, signal) =>
      node.stopping ? refuseAsLeaving() : backendServers.execute(head, body, signal),
  };
  const pool = new PeerPool({
    endpoint: {
      identity: { nodeId, incarnation: Math.floor(clock.wallTime()) },
      location,
      sharedKey: undefined,
      deploymentNumber: () => router.configuration?.version ?? 0,
    },
    addressOf: (peer) => directory.entry(peer)?.peerAddress,
    executor,
    liveness,
    // A stopping node refuses the caller's next attempt, so that giving up early gains nothing.
    waitsForSilentPeers: () => node.stopping,
    introduced: ({ identity }) => {
      choice.loadOf(identity.nodeId).resetOnReconnect();
      leaveReplicas.handleConnected(identity.nodeId);
    },
    localLoad: () => backendServers.load(),
    onLoad: (peer, report) => {
      choice.loadOf(peer).recordReport(report, clock.now());
      loadProber.handleReport(peer);
    },
    onLost: () => connectionManager.wake(),
    account,
    clock,
    logger,
  });
  leaveReplicas = new LeaveReplicas({
    channel: pool,
    connectedPeers: () => pool.connectedPeers(),
    storedEntry: (peer) => directory.entry(peer),
    onReturned: (leave) => backendServers.handleReturnedLeave(leave),
    clock,
  });
  loadProber = new LoadProber({ requestLoad: (peer) => pool.requestLoad(peer), clock });
  const routeWorkEstimator = new RouteWorkEstimator();
  choice = new HostChoice({
    nodeId,
    location,
    directory,
    subset,
    selector: new HostSelector(random.fork()),
    loadProber,
    routeWorkEstimator,
    speed,
    isReachable: (peer) => {
      if (peer !== nodeId) return pool.isConnected(peer);
      return backendServers.current !== undefined && !backendServers.current.leaving;
    },
    isEvacuated,
    localLoad: () => backendServers.load(),
    roundTripTo: (peer) => pool.roundTripTo(peer),
    clock,
  });
  const send: SendToHost = (peer, head, body, signal) =>
    peer === nodeId
      ? backendServers.execute(head, body, signal)
      : pool.execute(peer, head, body, signal);
  const registration = new HostRegistration({
    nodeId,
    store,
    clock,
    random: random.fork(),
    onFound: (entry) => backendServers.handleStoredEntry(entry),
    onRead: (wasRegistered) => {
      if (!wasRegistered) backendServers.handleNewHost();
      // The backend server may have announced its leave before the entry was read.
      node.register();
    },
    logger,
  });
  router = new RequestRouter({
    hosts: choice,
    send,
    bounds,
    nodeCount: () => directory.size,
    isNewNode: () => registration.isNew,
    routeWorkEstimator,
    hedging: new RequestHedging({
      shareOf: (service) => {
        const { hedgeShare } = settings.current;
        return typeof hedgeShare === 'object' ? hedgeShare.get(service) : hedgeShare;
      },
      clock,
    }),
    onHedge: (route, event) => telemetry.recordHedge(route, event),
    clock,
    random: random.fork(),
    logger,
  });
  const watchers = new StoreWatchers({ nodeId, region: location.region, directory });
  const brokerMembership = new BrokerMembership({ nodeId, clock });
  const tenants = new TenantDirectory(() => router.configuration);
  quotas =
    bounds.quota === undefined
      ? undefined
      : new Quotas({
          nodeId,
          region: location.region,
          channel: pool,
          clock,
          bounds: bounds.quota,
          membership: brokerMembership,
          limitOf: (tenant) => tenants.find(tenant),
          isReachable: (peer) => pool.isConnected(peer),
          onUnanswered: (tenant) =>
            logger.warn('quota-unanswered', 'no broker granted or refused tokens of a tenant', {
              tenant,
              brokers: brokerMembership.listed.length,
            }),
        });
  const stallDetector = new StallDetector({ clock });
  const callers = new CallersListener({
    router,
    service: () => settings.current.service,
    isNestedCall: (requestId) => backendServers.isNestedCall(requestId),
    isBelowRepeat: (requestId) => backendServers.isBelowRepeat(requestId),
    endsAt: () => node.endsAt,
    ...(quotas === undefined ? {} : { quotas }),
    onFinished: (finished) => {
      telemetry.recordFinishedRequest(finished);
      const { depth, milliseconds, requestId } = finished;
      if (depth > 0) backendServers.recordNestedCall(requestId, milliseconds);
    },
    stallDetector,
    account,
    clock,
    logger,
  });
  const configurationReceiver = new ConfigurationReceiver({
    apply: (configuration) => {
      const applied = router.apply(configuration);
      if (!applied) return false;
      callers.applyLimits(configuration.limits);
      regionSets = findRegionSets(configuration);
      connectionManager.wake();
      return true;
    },
    onStored: (document) => exchange.publish(document),
    logger,
  });
  const peerSelector = new ConfigurationPeerSelector({
    watchers,
    connectedPeers: () => pool.connectedPeers(),
    random: random.fork(),
  });
  const createExchange = ({
    name,
    boundMilliseconds,
    askIntervalShare,
    followers: pair,
    onDocument,
    onInvalidData,
  }: ExchangeVariant) =>
    new DocumentExchange({
      name,
      channel: pool,
      clock,
      pollIntervalMilliseconds: boundMilliseconds * askIntervalShare,
      chooseAnnouncementPeers: () => peerSelector.chooseAnnouncementPeers(),
      choosePollPeers: () => peerSelector.chooseAskedPeers(),
      isInOtherRegion: (peer) => peerSelector.isFar(peer),
      isWatchingSource: () => {
        const [watch, check] = pair();
        const isCheckCurrent = (check.ageMilliseconds ?? Infinity) < maxCheckAgeMilliseconds;
        return watch.isFollowing && check.isFollowing && isCheckCurrent;
      },
      onDocument,
      onInvalidData,
    });
  exchange = createExchange({
    name: 'configuration',
    boundMilliseconds: bounds.configurationMilliseconds,
    askIntervalShare: configurationAskIntervalShare,
    followers: () => [configurationFollower, configurationCheck],
    onDocument: (document, peer) => configurationReceiver.receiveFromPeer(document, peer),
    onInvalidData: (detail, peer) =>
      logger.error('configuration-unreadable', 'cannot decode the document that a peer sent', {
        peer,
        detail,
      }),
  });
  directory.onChange(() => {
    choice.removeUnlistedHosts();
    leaveReplicas.prune();
    brokerMembership.update({
      brokers: watchers.ofAllRegions(),
      hasStepped: (host) => directory.entry(host) !== undefined,
      includesOwnHost: directory.entry(nodeId) !== undefined,
    });
    connectionManager.wake();
    registration.seen(directory.stored(nodeId));
    // The list may be older than the entry that was read itself.
    const { stored } = registration;
    if (stored !== undefined) backendServers.handleStoredEntry(stored);
    if (backendServers.current === undefined) node.register();
  });
  const createFollowRule = (documents: DocumentExchange, boundMilliseconds: number): FollowRule => {
    const maxAgeMilliseconds =
      boundMilliseconds * (maxExchangeAgeShare + maxExchangeAgeJitterShare * random.next());
    return {
      isNeeded: () => watchers.includesSelf || documents.ageMilliseconds > maxAgeMilliseconds,
      untilNeededMilliseconds: () => maxAgeMilliseconds - documents.ageMilliseconds,
    };
  };
  const followRule = createFollowRule(exchange, bounds.configurationMilliseconds);
  const createFollower = (prefix: string, variant: StoreFollowerVariant) => {
    const follower = new StoreFollower({
      store,
      prefix,
      ...variant,
      clock,
      random: random.fork(),
      logger,
    });
    followers.push(follower);
    return follower;
  };
  configurationFollower = createFollower(configurationPrefix, {
    mayBeStale: false,
    waitMilliseconds: configurationWaitMilliseconds,
    pauseMilliseconds: configurationPauseMilliseconds,
    ...followRule,
    onChange: (result, { calledAt, silentMilliseconds }) => {
      configurationReceiver.receiveFromStore(result, {
        source: ConfigurationSource.watch,
        silentMilliseconds,
      });
      // A node that has read the store needs no watch until peers should have confirmed its copy.
      if (router.configuration !== undefined) exchange.confirm(calledAt);
    },
  });
  configurationCheck = createFollower(configurationPrefix, {
    mayBeStale: true,
    waitMilliseconds: configurationCheckWaitMilliseconds,
    pauseMilliseconds: configurationPauseMilliseconds,
    ...followRule,
    isNeeded: () => followRule.isNeeded() && configurationFollower.isFollowing,
    onChange: (result, { silentMilliseconds }) =>
      configurationReceiver.receiveFromStore(result, {
        source: ConfigurationSource.check,
        silentMilliseconds,
      }),
  });
  const hostsFollower = createFollower(hostPrefix, {
    mayBeStale: true,
    waitMilliseconds: hostsWaitMilliseconds,
    pauseMilliseconds: hostsPauseMilliseconds,
    onChange: (result) => directory.apply(result),
  });
  connectionManager = new PeerConnectionManager({
    nodeId,
    directory,
    subset,
    isEvacuated,
    regionSetsOf: (service) => regionSets.get(service) ?? [],
    watchers,
    quotaBrokers: () =>
      quotas === undefined || !tenants.hasTenants
        ? []
        : brokerMembership.listed.map((broker) => broker.nodeId),
    pool,
    clock,
    random: random.fork(),
    logger,
  });
  const supervisor = new Supervisor({ name: 'node', clock, onFailure: taskFailureLogger(logger) });
  supervisor.start('configuration', (signal) => configurationFollower.run(signal));
  supervisor.start('configuration-check', (signal) => configurationCheck.run(signal));
  supervisor.start('configuration-exchange', (signal) => exchange.run(signal));
  if (bounds.evacuationMilliseconds !== undefined) {
    const boundMilliseconds = bounds.evacuationMilliseconds;
    let evacuationFollower: StoreFollower;
    let evacuationCheck: StoreFollower;
    const current = new Evacuations({
      onChange: () => {
        telemetry.setEvacuatedFailureDomains(current.size);
        if (current.has(location.failureDomain)) backendServers.refuseQueued();
        connectionManager.wake();
      },
      logger,
    });
    evacuations = current;
    const evacuationExchange = createExchange({
      name: 'evacuations',
      boundMilliseconds,
      askIntervalShare: evacuationAskIntervalShare,
      followers: () => [evacuationFollower, evacuationCheck],
      onDocument: (document, peer) => current.applyFromPeer(document, peer),
      onInvalidData: (detail, peer) =>
        logger.error('evacuations-unreadable', 'cannot decode the list that a peer sent', {
          peer,
          detail,
        }),
    });
    const evacuationRule = createFollowRule(evacuationExchange, boundMilliseconds);
    const createReceiver = () => {
      const reader = new EvacuationReader(logger);
      return (result: WatchResult) => {
        const document = reader.read(result);
        if (current.applyStored(document)) evacuationExchange.publish(document);
      };
    };
    const receive = createReceiver();
    evacuationFollower = createFollower(evacuationPrefix, {
      mayBeStale: false,
      waitMilliseconds: configurationWaitMilliseconds,
      pauseMilliseconds: configurationPauseMilliseconds,
      isNeeded: () => watchers.includesSelf,
      onChange: (result, { calledAt }) => {
        receive(result);
        evacuationExchange.confirm(calledAt);
      },
    });
    const receiveStale = createReceiver();
    evacuationCheck = createFollower(evacuationPrefix, {
      mayBeStale: true,
      waitMilliseconds: configurationCheckWaitMilliseconds,
      pauseMilliseconds: configurationPauseMilliseconds,
      ...evacuationRule,
      isNeeded: () =>
        evacuationRule.isNeeded() && (!watchers.includesSelf || evacuationFollower.isFollowing),
      onChange: (result, { calledAt }) => {
        receiveStale(result);
        // The nodes that watch current data for the others read it themselves. For a node without
        // peers, data that may be seconds old has to do; it costs a tenth.
        if (!watchers.includesSelf) evacuationExchange.confirm(calledAt);
      },
    });
    supervisor.start('evacuations', (signal) => evacuationFollower.run(signal));
    supervisor.start('evacuations-check', (signal) => evacuationCheck.run(signal));
    supervisor.start('evacuations-exchange', (signal) => evacuationExchange.run(signal));
  }
  supervisor.start('hosts', (signal) => hostsFollower.run(signal));
  supervisor.start('registration', (signal) => registration.run(signal));
  supervisor.start('peers', (signal) => connectionManager.run(signal));
  const occupancyReporter = new OccupancyReporter({
    takeOccupancy: () => backendServers.takeOccupancy(),
    onSummary: (summary) => telemetry.recordBackendServerUsage(summary),
    takeRefusals: () => backendServers.takeRefusals(),
    onRefusals: (summary) => telemetry.recordRefusals(summary),
    logger,
  });
  const reports = new ReportsListener({
    registry: backendServers,
    waitUntilRecorded: async () => {
      await registration.waitUntilCurrent(leaveWriteMilliseconds);
      const { leave } = backendServers;
      if (leave === undefined || registration.isCurrent) return;
      await leaveReplicas.replicate(leave, leaveReplicationMilliseconds);
    },
    account,
    logger,
  });
  const readiness = new StatusListener(
    new Map([[readinessPath, () => ({ status: node.ready ? 200 : 503, text: '' })]]),
  );
  const renderMetrics = () => {
    telemetry.setRateLimited(backendServers.current?.isRateLimited ?? false);
    telemetry.setHostEntryPending(registration.pendingMilliseconds);
    return { status: 200, text: telemetry.render() };
  };
  const metrics = new StatusListener(new Map([['/metrics', renderMetrics]]));
  node = new HostNode({
    settings,
    backendServers,
    router,
    pool,
    directory,
    registration,
    callers,
    reports,
    readiness,
    metrics,
    supervisor,
    disposables: [
      stallDetector,
      account,
      occupancyReporter,
      pool,
      backendServers,
      reports,
      readiness,
      metrics,
      store,
      settings,
      // Last, so that requests on connections that are still open get a refusal until the end.
      callers,
    ],
    stallDetector,
    clock,
    logger,
  });
  return node;
}

type StoreFollowerVariant = Pick<
  ConstructorParameters<typeof StoreFollower>[0],
  | 'isNeeded'
  | 'untilNeededMilliseconds'
  | 'mayBeStale'
  | 'waitMilliseconds'
  | 'pauseMilliseconds'
  | 'onChange'
>;

type FollowRule = Required<Pick<StoreFollowerVariant, 'isNeeded' | 'untilNeededMilliseconds'>>;

interface ExchangeVariant {
  readonly name: string;
  /** Time within which a document must be in force everywhere. */
  readonly boundMilliseconds: number;
  /** Interval at which peers are asked, as a share of that time. */
  readonly askIntervalShare: number;
  /** The watch that reads current data, and the second watch, which may read stale data. */
  readonly followers: () => readonly [StoreFollower, StoreFollower];
  readonly onDocument: (document: VersionedDocument, peer: string) => boolean;
  readonly onInvalidData: (detail: string, peer: string) => void;
}

async function refuseAsLeaving(): Promise<ExecutionOutcome> {
  return { type: 'refused', reason: 'leaving', report: undefined };
}
