import type { NodeSettings } from '@hickorybridge/configuration';
import {
  ClaimClient,
  ClaimHolder,
  LoopbackChannel,
  ViewRegister,
} from '@hickorybridge/idempotency';
import { taskFailureLogger, type Logger } from '@hickorybridge/logger';
import { createMembership, PacedStore, type Membership } from '@hickorybridge/membership';
import { PeerPool } from '@hickorybridge/peer-protocol';
import type { PlatformStore } from '@hickorybridge/store';
import { createMetrics, FlightRecorder, type Tracer } from '@hickorybridge/telemetry';
import type { NodeIdentity } from '@hickorybridge/types';
import { Supervisor, type Clock, type RandomSource } from '@hickorybridge/utils';

import { AdmissionExecutor } from './admitting/AdmissionExecutor.js';
import { LocalBackendServers } from './admitting/LocalBackendServers.js';
import { KeeperDuty } from './claiming/KeeperDuty.js';
import { KeyedRequests } from './claiming/KeyedRequests.js';
import { createAnnouncementsApplication } from './listeners/createAnnouncementsApplication.js';
import { createCallersApplication } from './listeners/createCallersApplication.js';
import { createOperatorsApplication } from './listeners/createOperatorsApplication.js';
import { HttpListener } from './listeners/HttpListener.js';
import { OpenExchanges } from './listeners/OpenExchanges.js';
import { Node } from './Node.js';
import { MeasuringBudget } from './MeasuringBudget.js';
import type { Observability } from './Observability.js';
import { ObservedExecutor } from './ObservedExecutor.js';
import { createRequestIds } from './requestIds.js';
import { EffectiveRouting } from './routing/EffectiveRouting.js';
import { ObservedRouting } from './routing/ObservedRouting.js';
import type { SendToNode } from './routing/RequestTry.js';

/** Prefix of the objects that all nodes follow for claims. */
const claimsPrefix = 'claims/';

// Records of keys have to outlast every re-sending; a deployment may ask for less, never for more.
const retentionMilliseconds = 2 * 3_600_000;

/** What a node is made of. Tests may give their own clock, store and random numbers. */
export interface CreateNodeOptions {
  readonly settings: NodeSettings;
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly tracer: Tracer;
}

/** Wires the parts of a node. The node does nothing until it is started. */
export function createNode(options: CreateNodeOptions): Node {
  const { settings, store, clock, random, logger, tracer } = options;
  const { listeners, node, peers } = settings;
  const identity: NodeIdentity = { nodeId: node.id, incarnation: Math.floor(clock.wallTime()) };
  const location = { region: node.region, failureDomain: node.failureDomain };
  const flights = new FlightRecorder({ nodeId: identity.nodeId, clock });
  const observability: Observability = { metrics: createMetrics(), flights, tracer };
  const executor = new AdmissionExecutor(identity);
  const observedExecutor = new ObservedExecutor(executor, observability, clock);
  let membership: Membership;
  let routing: EffectiveRouting;
  let result: Node;
  const budget = new MeasuringBudget({
    settings: () => routing.effective?.deployment.measuring,
    nodesInRegion: () => membership.nodes().filter(({ region }) => region === node.region).length,
    clock,
  });
  const pool = new PeerPool({
    endpoint: {
      identity,
      location,
      sharedKey: peers.sharedKey,
      deploymentNumber: () => membership.deployment()?.number ?? 0,
    },
    addressOf: (nodeId) => membership.peerAddressOf(nodeId),
    executor: observedExecutor,
    budget,
    requestCallPrefix: claimsPrefix,
    introduced: (introduction) => {
      membership.noticeDeploymentNumber(
        introduction.identity.nodeId,
        introduction.deploymentNumber,
      );
    },
    clock,
    logger,
  });
  membership = createMembership({
    identity,
    location,
    peerAddress: listeners.advertisedPeers ?? listeners.peers,
    operatorsAddress: listeners.operators,
    store,
    channel: pool,
    seeds: peers.seeds,
    clock,
    random: random.fork(),
    logger,
    sharedPrefixes: [claimsPrefix],
  });
  const backendServers = new LocalBackendServers({ membership, executor, clock, logger });
  const send: SendToNode = (entry, head, request, signal) =>
    entry.nodeId === identity.nodeId
      ? observedExecutor.execute(head, request.body, signal)
      : pool.execute(entry.nodeId, head, request.body, signal);
  routing = new EffectiveRouting({
    directory: membership,
    context: { location, nodeId: identity.nodeId },
    send,
    observability,
    clock,
    random: random.fork(),
    logger,
  });
  membership.onDeployment((accepted) => routing.apply(accepted));
  const open = new OpenExchanges();
  const views = new ViewRegister();
  const channel = new LoopbackChannel(pool, identity);
  const holder = new ClaimHolder({ identity, channel, clock, retentionMilliseconds, logger });
  const claims = new ClaimClient({ channel, views, clock, location, retentionMilliseconds });
  const ending = new AbortController();
  const keyedRequests = new KeyedRequests({
    claims,
    route: (request) => result.routeUnkeyed(request),
    ending: ending.signal,
    clock,
  });
  const keeper = new KeeperDuty({
    identity,
    membership,
    store: new PacedStore({ store, clock, random: random.fork() }),
    channel,
    views,
    holder,
    clock,
    logger,
  });
  result = new Node({
    settings,
    identity,
    pool,
    membership,
    executor,
    backendServers,
    routing,
    open,
    observability,
    observedRouting: new ObservedRouting(observability, clock),
    keyedRequests,
    budget,
    keeper,
    views,
    ending,
    supervisor: new Supervisor({ name: 'node', clock, onFailure: taskFailureLogger(logger) }),
    clock,
    logger,
    callers: new HttpListener(
      createCallersApplication({
        effective: () => (membership.ready() ? routing.effective : undefined),
        route: (request) => result.route(request),
        nextRequestId: createRequestIds(identity),
        stopping: () => result.stopping,
        open,
        clock,
      }),
    ),
    announcements: new HttpListener(
      createAnnouncementsApplication({
        announce: (announcement) => backendServers.announce(announcement),
        withdraw: (backendServerId) => backendServers.withdraw(backendServerId),
        list: () => backendServers.list(),
      }),
    ),
    operators: new HttpListener(
      createOperatorsApplication({
        sharedKey: peers.sharedKey,
        readiness: () => result.readiness(),
        status: () => result.status(),
        metrics: () => result.metrics(),
        explain: (requestId) => result.explain(requestId),
        drain: () => result.stop(),
      }),
    ),
  });
  return result;
}
