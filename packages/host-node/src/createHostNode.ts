import { DocumentExchange } from '@hickorybridge/coordination';
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
import { configurationPrefix, ObjectStore, readinessPath } from '@hickorybridge/platform';
import { HostSelector, HostSubset, RouteWorkEstimator } from '@hickorybridge/routing';
import {
  HostSpeedModel,
  StallDetector,
  Supervisor,
  type RandomSource,
  type TimerClock,
} from '@hickorybridge/utils';

import { BackendServerRegistry } from './backend/BackendServerRegistry.js';
import { CallersListener } from './callers/CallersListener.js';
import { ConfigurationReceiver, ConfigurationSource } from './control/ConfigurationReceiver.js';
import { ConfigurationPeerSelector } from './control/ConfigurationPeerSelector.js';
import { OccupancyReporter } from './control/OccupancyReporter.js';
import { PeerConnectionManager } from './control/PeerConnectionManager.js';
import { ReportsListener } from './control/ReportsListener.js';
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
const askIntervalShare = 0.2;
const maxExchangeAgeShare = 0.55;
// Spreads the store calls of nodes in a region that lose all their watchers at the same time.
const maxExchangeAgeJitterShare = 0.1;
// The list of hosts may be stale: a new host merely gets its first requests a little later, and one
// that leaves refuses requests itself.
const hostsWaitMilliseconds = 15_000;
const configurationPauseMilliseconds = 100;
// In a large fleet, a release changes several entries a second, each of which wakes every node.
const hostsPauseMilliseconds = 1000;

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
  const telemetry = new NodeTelemetry(logger);
  const followers: StoreFollower[] = [];
  const store = new ObjectStore(storeAddress, {
    count: (operation, result) => telemetry.recordStoreCall(operation, result),
    // Connections go silent together, and a watch would notice it only at the end of its wait.
    onSilent: () => followers.forEach((follower) => follower.renew()),
  });
  const directory = new HostDirectory(logger);
  const speed = new HostSpeedModel();
  const subset = new HostSubset(nodeId, location, () => directory.list());
  let node: HostNode;
  let router: RequestRouter;
  let choice: HostChoice;
  let loadProber: LoadProber;
  let exchange: DocumentExchange;
  let configurationFollower: StoreFollower;
  let configurationCheck: StoreFollower;
  let connectionManager: PeerConnectionManager;
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
    hasLeft: ({ backendServerId, startedAt }) => {
      const { entry } = directory.stored(nodeId);
      const isSame = entry?.backendServerId === backendServerId;
      return isSame && entry.leaving && (entry.startedAt ?? -1) >= startedAt;
    },
    drainMilliseconds: bounds.drainMilliseconds,
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
    introduced: ({ identity }) => choice.loadOf(identity.nodeId).resetOnReconnect(),
    localLoad: () => backendServers.load(),
    onLoad: (peer, report) => {
      choice.loadOf(peer).recordReport(report, clock.now());
      loadProber.handleReport(peer);
    },
    onLost: () => connectionManager.wake(),
    clock,
    logger,
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
    logger,
  });
  router = new RequestRouter({
    hosts: choice,
    send,
    bounds,
    nodeCount: () => directory.size,
    isNewNode: () => registration.isNew,
    routeWorkEstimator,
    clock,
    random: random.fork(),
    logger,
  });
  const stallDetector = new StallDetector({ clock });
  const callers = new CallersListener({
    router,
    service: () => settings.current.service,
    isNestedCall: (requestId) => backendServers.isNestedCall(requestId),
    isBelowRepeat: (requestId) => backendServers.isBelowRepeat(requestId),
    endsAt: () => node.endsAt,
    onFinished: (finished) => {
      telemetry.recordFinishedRequest(finished);
      const { depth, milliseconds, requestId } = finished;
      if (depth > 0) backendServers.recordNestedCall(requestId, milliseconds);
    },
    stallDetector,
    clock,
    logger,
  });
  const configurationReceiver = new ConfigurationReceiver({
    apply: (configuration) => {
      const applied = router.apply(configuration);
      if (applied) callers.applyLimits(configuration.limits);
      return applied;
    },
    onStored: (document) => exchange.publish(document),
    logger,
  });
  const watchers = new StoreWatchers({ nodeId, region: location.region, directory });
  const peerSelector = new ConfigurationPeerSelector({
    watchers,
    connectedPeers: () => pool.connectedPeers(),
    random: random.fork(),
  });
  const isFollowingConfigurations = () =>
    configurationFollower.isFollowing &&
    configurationCheck.isFollowing &&
    (configurationCheck.ageMilliseconds ?? Infinity) < maxCheckAgeMilliseconds;
  exchange = new DocumentExchange({
    name: 'configuration',
    channel: pool,
    clock,
    pollIntervalMilliseconds: bounds.configurationMilliseconds * askIntervalShare,
    chooseAnnouncementPeers: () => peerSelector.chooseAnnouncementPeers(),
    choosePollPeers: () => peerSelector.chooseAskedPeers(),
    isInOtherRegion: (peer) => peerSelector.isFar(peer),
    isWatchingSource: isFollowingConfigurations,
    onDocument: (document, peer) => configurationReceiver.receiveFromPeer(document, peer),
    onInvalidData: (detail, peer) =>
      logger.error('configuration-unreadable', 'cannot decode the document that a peer sent', {
        peer,
        detail,
      }),
  });
  directory.onChange(() => {
    choice.removeUnlistedHosts();
    connectionManager.wake();
    const { entry, version } = directory.stored(nodeId);
    if (entry !== undefined) backendServers.handleStoredEntry(entry);
    registration.seen(entry, version);
  });
  const maxExchangeAgeMilliseconds =
    bounds.configurationMilliseconds *
    (maxExchangeAgeShare + maxExchangeAgeJitterShare * random.next());
  const mustFollowStore = () =>
    watchers.includesSelf || exchange.ageMilliseconds > maxExchangeAgeMilliseconds;
  const untilMustFollowStore = () => maxExchangeAgeMilliseconds - exchange.ageMilliseconds;
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
    isNeeded: mustFollowStore,
    untilNeededMilliseconds: untilMustFollowStore,
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
    isNeeded: () => mustFollowStore() && configurationFollower.isFollowing,
    untilNeededMilliseconds: untilMustFollowStore,
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
    watchers,
    pool,
    clock,
    random: random.fork(),
    logger,
  });
  const supervisor = new Supervisor({ name: 'node', clock, onFailure: taskFailureLogger(logger) });
  supervisor.start('configuration', (signal) => configurationFollower.run(signal));
  supervisor.start('configuration-check', (signal) => configurationCheck.run(signal));
  supervisor.start('configuration-exchange', (signal) => exchange.run(signal));
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
  const reports = new ReportsListener(backendServers, logger);
  const readiness = new StatusListener(
    new Map([[readinessPath, () => ({ status: node.ready ? 200 : 503, text: '' })]]),
  );
  const metrics = new StatusListener(
    new Map([['/metrics', () => ({ status: 200, text: telemetry.render() })]]),
  );
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

async function refuseAsLeaving(): Promise<ExecutionOutcome> {
  return { type: 'refused', reason: 'leaving', report: undefined };
}
