import { DocumentExchange } from '@hickorybridge/coordination';
import { logTaskFailure, type Logger } from '@hickorybridge/logger';
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
import { HostSpeedModel, Supervisor, type Clock, type RandomSource } from '@hickorybridge/utils';

import { BackendServerRegistry } from './backend/BackendServerRegistry.js';
import { CallersListener } from './callers/CallersListener.js';
import { ConfigurationFollower, ConfigurationSource } from './control/ConfigurationFollower.js';
import { ConfigurationPeers } from './control/ConfigurationPeers.js';
import { OccupancyLog } from './control/OccupancyLog.js';
import { PeerKeeper } from './control/PeerKeeper.js';
import { ReportsListener } from './control/ReportsListener.js';
import type { SettingsSource } from './control/SettingsFile.js';
import { StatusListener } from './control/StatusListener.js';
import { HostNode } from './HostNode.js';
import { NodeObserver } from './NodeObserver.js';
import { HostChoice } from './routing/HostChoice.js';
import { LoadProber } from './routing/LoadProber.js';
import { RequestRouter } from './routing/RequestRouter.js';
import type { SendToHost } from './routing/RequestRun.js';

/** What a node is made of. */
export interface CreateHostNodeOptions {
  readonly settings: SettingsSource;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

// Each call is paid for, and this watch is renewed only when nothing has changed.
const configurationWaitMilliseconds = 25_000;
// A second watch that may be stale costs a tenth. It brings a configuration within seconds when the
// connection of the first has gone silent, or the store was away.
const configurationCheckMilliseconds = 3000;
// A check that has no answer for longer is on a silent connection.
const longestCheckAgeMilliseconds = configurationCheckMilliseconds + 1500;
// As shares of the time in which a configuration has to be in force: how often a peer is asked, and
// how old an answer may be before the node follows the store itself. What is left is for the read.
const askIntervalShare = 0.2;
const longestAgeShare = 0.55;
// The nodes of a region that hear of no watcher any more turn to the store one after the other.
const longestAgeSpread = 0.1;
// The list of hosts may lag: a host that is not listed yet is only used a little later.
const hostsWaitMilliseconds = 15_000;
const configurationPauseMilliseconds = 100;
const hostsPauseMilliseconds = 250;

// A request that waits for a host that was cut off has to be repeated within its target.
const liveness: PeerLiveness = {
  heartbeatWhenWaitingMilliseconds: 250,
  heartbeatWhenIdleMilliseconds: 5000,
  silenceLimitMilliseconds: 700,
  tickMilliseconds: 100,
};

/** Wires the parts of a node. The node does nothing until it is started. */
export function createHostNode(options: CreateHostNodeOptions): HostNode {
  const { clock, logger, random, settings } = options;
  const { bounds, location, nodeId, store: storeAddress } = settings.current;
  const observer = new NodeObserver(logger);
  const store = new ObjectStore(storeAddress, (operation, result) =>
    observer.storeCalled(operation, result),
  );
  const directory = new HostDirectory(logger);
  const speed = new HostSpeedModel();
  const subset = new HostSubset(nodeId, location, () => directory.list());
  let node: HostNode;
  let router: RequestRouter;
  let choice: HostChoice;
  let inquiry: LoadProber;
  let exchange: DocumentExchange;
  let configurationFollower: StoreFollower;
  let configurationCheck: StoreFollower;
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
    drainMilliseconds: bounds.drainMilliseconds,
    onCurrentChanged: () => node.register(),
    speed,
    clock,
    logger,
  });
  const executor: RequestExecutor = {
    execute: (head, body, signal) =>
      node.stopping ? refusedAsLeaving() : backendServers.execute(head, body, signal),
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
    introduced: ({ identity }) => choice.loadOf(identity.nodeId).reconnected(),
    ownLoad: () => backendServers.load(),
    onLoad: (peer, report) => {
      choice.loadOf(peer).recordReport(report, clock.now());
      inquiry.handleReport(peer);
    },
    clock,
    logger,
  });
  inquiry = new LoadProber({ requestLoad: (peer) => pool.requestLoad(peer), clock });
  const routeTimes = new RouteWorkEstimator();
  choice = new HostChoice({
    nodeId,
    location,
    directory,
    subset,
    selector: new HostSelector(random.fork()),
    loadProber: inquiry,
    routeTimes,
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
  router = new RequestRouter({
    hosts: choice,
    send,
    bounds,
    nodeCount: () => directory.size,
    routeTimes,
    clock,
    random: random.fork(),
    logger,
  });
  const callers = new CallersListener({
    router,
    service: () => settings.current.service,
    isNestedCall: (requestId) => backendServers.isNestedCall(requestId),
    stopping: () => node.stopping,
    onFinished: (finished) => {
      observer.finished(finished);
      const { depth, milliseconds, requestId } = finished;
      if (depth > 0) backendServers.recordNestedCall(requestId, milliseconds);
    },
    clock,
  });
  const configurations = new ConfigurationFollower({
    apply: (configuration) => {
      const applied = router.apply(configuration);
      if (applied) callers.applyLimits(configuration.limits);
      return applied;
    },
    onStored: (document) => exchange.hold(document),
    logger,
  });
  const watchers = new StoreWatchers({ nodeId, region: location.region, directory });
  const configurationPeers = new ConfigurationPeers({
    watchers,
    connectedPeers: () => pool.connectedPeers(),
    random: random.fork(),
  });
  const followsConfigurations = () =>
    configurationFollower.isFollowing &&
    configurationCheck.isFollowing &&
    (configurationCheck.ageMilliseconds ?? Infinity) < longestCheckAgeMilliseconds;
  exchange = new DocumentExchange({
    name: 'configuration',
    channel: pool,
    clock,
    askIntervalMilliseconds: bounds.configurationMilliseconds * askIntervalShare,
    chooseAnnouncementPeers: () => configurationPeers.chooseAnnouncementPeers(),
    chooseAskedPeers: () => configurationPeers.chooseAskedPeers(),
    isFar: (peer) => configurationPeers.isFar(peer),
    followsSource: followsConfigurations,
    onDocument: (document, peer) => configurations.takeFromPeer(document, peer),
    onUnusable: (detail, peer) =>
      logger.error('configuration-unreadable', 'a peer sent bytes that are no document', {
        peer,
        detail,
      }),
  });
  const registration = new HostRegistration({
    nodeId,
    store,
    clock,
    random: random.fork(),
    logger,
  });
  directory.onChange(() => {
    choice.removeUnlistedHosts();
    registration.seen(directory.entry(nodeId), directory.versionOf(nodeId));
  });
  const longestAge =
    bounds.configurationMilliseconds * (longestAgeShare + longestAgeSpread * random.next());
  const needsStore = () => watchers.includesSelf || exchange.ageMilliseconds > longestAge;
  const follow = (prefix: string, follower: StoreFollowerSettings) =>
    new StoreFollower({ store, prefix, ...follower, clock, random: random.fork(), logger });
  configurationFollower = follow(configurationPrefix, {
    mayBeStale: false,
    waitMilliseconds: configurationWaitMilliseconds,
    pauseMilliseconds: configurationPauseMilliseconds,
    isNeeded: needsStore,
    onChange: (result, silentMilliseconds) =>
      configurations.takeStored(result, { source: ConfigurationSource.watch, silentMilliseconds }),
  });
  configurationCheck = follow(configurationPrefix, {
    mayBeStale: true,
    waitMilliseconds: configurationCheckMilliseconds,
    pauseMilliseconds: configurationPauseMilliseconds,
    isNeeded: () => needsStore() && configurationFollower.isFollowing,
    onChange: (result, silentMilliseconds) =>
      configurations.takeStored(result, { source: ConfigurationSource.check, silentMilliseconds }),
  });
  const hostsFollower = follow(hostPrefix, {
    mayBeStale: true,
    waitMilliseconds: hostsWaitMilliseconds,
    pauseMilliseconds: hostsPauseMilliseconds,
    onChange: (result) => directory.apply(result),
  });
  const keeper = new PeerKeeper({
    nodeId,
    directory,
    subset,
    watchers,
    pool,
    clock,
    random: random.fork(),
    logger,
  });
  const supervisor = new Supervisor({ name: 'node', clock, onFailure: logTaskFailure(logger) });
  supervisor.start('configuration', (signal) => configurationFollower.run(signal));
  supervisor.start('configuration-check', (signal) => configurationCheck.run(signal));
  supervisor.start('configuration-exchange', (signal) => exchange.run(signal));
  supervisor.start('hosts', (signal) => hostsFollower.run(signal));
  supervisor.start('registration', (signal) => registration.run(signal));
  supervisor.start('peers', (signal) => keeper.run(signal));
  const occupancyLog = new OccupancyLog({
    takeOccupancy: () => backendServers.takeOccupancy(),
    onSummary: (summary) => observer.backendServerUsed(summary),
    logger,
  });
  const reports = new ReportsListener(backendServers, logger);
  const readiness = new StatusListener(
    new Map([[readinessPath, () => ({ status: node.ready ? 200 : 503, text: '' })]]),
  );
  const metrics = new StatusListener(
    new Map([['/metrics', () => ({ status: 200, text: observer.render() })]]),
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
    closeables: [
      callers,
      occupancyLog,
      pool,
      backendServers,
      reports,
      readiness,
      metrics,
      store,
      settings,
    ],
    clock,
    logger,
  });
  return node;
}

type StoreFollowerSettings = Pick<
  ConstructorParameters<typeof StoreFollower>[0],
  'isNeeded' | 'mayBeStale' | 'waitMilliseconds' | 'pauseMilliseconds' | 'onChange'
>;

async function refusedAsLeaving(): Promise<ExecutionOutcome> {
  return { type: 'refused', reason: 'leaving', report: undefined };
}
