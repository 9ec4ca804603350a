import type { NodeSettings } from '@hickorybridge/configuration';
import type { ClaimView, ViewRegister } from '@hickorybridge/idempotency';
import type { Logger } from '@hickorybridge/logger';
import type { Membership } from '@hickorybridge/membership';
import type { PeerPool } from '@hickorybridge/peer-protocol';
import {
  Distance,
  Outcome,
  ProblemName,
  succeed,
  type NodeIdentity,
  type Result,
  type SocketAddress,
} from '@hickorybridge/types';
import {
  ListenerOpener,
  type Clock,
  type ListenError,
  type Supervisor,
} from '@hickorybridge/utils';

import type { AdmissionExecutor } from './admitting/AdmissionExecutor.js';
import type { LocalBackendServers } from './admitting/LocalBackendServers.js';
import type { KeeperDuty } from './claiming/KeeperDuty.js';
import type { KeyedRequests } from './claiming/KeyedRequests.js';
import type { HttpListener } from './listeners/HttpListener.js';
import type { OpenExchanges } from './listeners/OpenExchanges.js';
import type { MeasuringBudget } from './MeasuringBudget.js';
import type { Observability } from './Observability.js';
import { registerGauges, updateControlBytes } from './registerGauges.js';
import type { EffectiveRouting } from './routing/EffectiveRouting.js';
import { failed, type RoutedOutcome, type RoutedRequest } from './routing/RoutedRequest.js';
import type { ObservedRouting, UnobservedRequest } from './routing/ObservedRouting.js';

// After the grace limit, requests that were cancelled get this long to learn their outcome.
const cancellationMilliseconds = 1500;

// A node that learns no claim view within this time is ready for requests without a key.
const claimViewWaitMilliseconds = 10_000;

// The keeper looks every two seconds, and a transfer of records takes a moment.
const claimHandoverMilliseconds = 8000;
const claimHolders = 3;
const pollMilliseconds = 50;

/** The parts of a node, as `createNode` wires them. */
export interface NodeParts {
  readonly settings: NodeSettings;
  readonly identity: NodeIdentity;
  readonly pool: PeerPool;
  readonly membership: Membership;
  readonly executor: AdmissionExecutor;
  readonly backendServers: LocalBackendServers;
  readonly routing: EffectiveRouting;
  readonly open: OpenExchanges;
  readonly observability: Observability;
  readonly observedRouting: ObservedRouting;
  readonly keyedRequests: KeyedRequests;
  readonly budget: MeasuringBudget;
  readonly keeper: KeeperDuty;
  readonly views: ViewRegister;
  /** Aborts the requests that go on without their callers. */
  readonly ending: AbortController;
  readonly supervisor: Supervisor;
  readonly callers: HttpListener;
  readonly announcements: HttpListener;
  readonly operators: HttpListener;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Whether a node takes requests, and with which deployment. */
export interface Readiness {
  readonly ready: boolean;
  readonly nodeId: string;
  /** Number of the deployment in effect; 0 before the first. */
  readonly deploymentNumber: number;
}

/** One node: a router for callers and the admission side of its host's backend servers. */
export class Node implements AsyncDisposable {
  readonly #parts: NodeParts;

  #stopping: Promise<void> | undefined;

  #startedAt = 0;

  readonly #startCancellation = new AbortController();

  constructor(parts: NodeParts) {
    this.#parts = parts;
    registerGauges(this, parts);
  }

  /** True from the start of the graceful shutdown. */
  get stopping(): boolean {
    return this.#stopping !== undefined;
  }

  /** Starts the duties and opens the listeners; resolves when callers can be served. */
  async start(): Promise<Result<SocketAddress | undefined, ListenError>> {
    const { announcements, callers, keeper, membership, operators, pool, settings } = this.#parts;
    const { listeners } = settings;
    const opener = this.#createListenerOpener();
    const results = [
      await pool.listen(listeners.peers, opener),
      await operators.listen(listeners.operators, opener),
      await announcements.listen(listeners.announcements, opener),
    ];
    for (const result of results) if (!result.ok) return result;
    this.#startedAt = this.#parts.clock.now();
    membership.start();
    keeper.start(this.#parts.supervisor);
    await this.#untilReady();
    if (this.stopping) return succeed(undefined);
    return callers.listen(listeners.callers, this.#createListenerOpener());
  }

  #createListenerOpener(): ListenerOpener {
    const { clock, logger, settings } = this.#parts;
    const { retryMilliseconds } = settings.listeners;
    return new ListenerOpener({
      retryMilliseconds,
      clock,
      signal: this.#startCancellation.signal,
      onRetry: (detail) =>
        logger.warn('listener-retried', 'an address cannot be used yet and is tried again', {
          detail,
          retryMilliseconds,
        }),
    });
  }

  /** Callers find the listener open only once their requests can be served. */
  async #untilReady(): Promise<void> {
    while (!this.ready() && !this.stopping) await this.#parts.clock.sleep(pollMilliseconds);
  }

  /** Whether the node takes all requests, those with an idempotency key included. */
  ready(): boolean {
    const { membership, routing } = this.#parts;
    if (this.stopping || !membership.ready() || routing.router === undefined) return false;
    return this.#claimsReady();
  }

  /** A fleet of fewer than three nodes never has a claim view, and is ready without one. */
  #claimsReady(): boolean {
    const { clock, views } = this.#parts;
    if (views.current() !== undefined) return true;
    return clock.now() - this.#startedAt > claimViewWaitMilliseconds;
  }

  /** Routes a caller's request; one with an idempotency key runs at most once. */
  async route(request: UnobservedRequest): Promise<RoutedOutcome> {
    const { keyedRequests, observedRouting } = this.#parts;
    const { idempotencyKey } = request;
    return observedRouting.observe(request, (observed) =>
      idempotencyKey === undefined
        ? this.routeUnkeyed(observed)
        : keyedRequests.run(observed, idempotencyKey),
    );
  }

  /** Routes a request whose key, if it has one, is claimed already. */
  async routeUnkeyed(request: RoutedRequest): Promise<RoutedOutcome> {
    const { router } = this.#parts.routing;
    if (router === undefined) {
      const detail = 'this node has not learnt a configuration yet; ask another node';
      return failed(ProblemName.notReady, Outcome.notRun, detail);
    }
    return router.route(request);
  }

  /** Describes the readiness for operators, cheaper than the whole status. */
  readiness(): Readiness {
    const { identity, routing } = this.#parts;
    const deploymentNumber = routing.effective?.number ?? 0;
    return { ready: this.ready(), nodeId: identity.nodeId, deploymentNumber };
  }

  /** Makes the status for operators. */
  async status(): Promise<unknown> {
    const { executor, membership, open, pool, routing } = this.#parts;
    return {
      ...(await membership.fleetSummary()),
      measuring: this.#describeMeasuring(),
      claimViewVersion: this.#parts.views.current()?.version ?? 0,
      keepsClaimView: this.#parts.keeper.holdsLease,
      ready: this.ready(),
      stopping: this.stopping,
      deployment: routing.effective?.deployment.name,
      deploymentNumber: routing.effective?.number ?? 0,
      openRequests: open.size,
      admittedRequests: executor.open,
      peerConnections: pool.size,
      backendServers: this.#listBackendServers(),
    };
  }

  metrics(): string {
    updateControlBytes(this.#parts);
    return this.#parts.observability.metrics.render();
  }

  /** Gives what is remembered of a request; `undefined` when nothing is. */
  explain(requestId: string): unknown {
    const found = this.#parts.observability.flights.find(requestId);
    return found.length === 0 ? undefined : found;
  }

  /** Shuts the node down gracefully. Resolves when it has ended; further calls join the first. */
  async stop(): Promise<void> {
    this.#startCancellation.abort();
    this.#stopping ??= this.#shutDown();
    await this.#stopping;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.stop();
  }

  async #shutDown(): Promise<void> {
    const { backendServers, clock, logger, membership, settings } = this.#parts;
    const { graceMilliseconds, noticeMilliseconds } = settings.shutdown;
    logger.info('node-stopping', 'graceful shutdown started', {
      noticeMilliseconds,
      graceMilliseconds,
    });
    membership.leaving();
    backendServers.leave();
    await clock.sleep(noticeMilliseconds);
    await this.#finishRequests(graceMilliseconds);
    await this.#waitForClaimHandover();
    await this.#close();
    logger.info('node-stopped', 'graceful shutdown complete');
  }

  /** Takes no further connections and waits for all open requests, up to the grace limit. */
  async #finishRequests(graceMilliseconds: number): Promise<void> {
    const { callers, clock, executor, logger, open } = this.#parts;
    const closing = callers[Symbol.asyncDispose]();
    const idle = Promise.all([open.idle(), executor.idle()]);
    const finished = await this.#within(idle, graceMilliseconds);
    if (!finished) {
      logger.warn('shutdown-limit', 'requests are still open at the limit; cancelling them', {
        openRequests: open.size,
        admittedRequests: executor.open,
      });
      open.cancelAll();
      this.#parts.ending.abort();
      await clock.sleep(cancellationMilliseconds);
      callers.destroy();
    }
    await this.#within(closing, cancellationMilliseconds);
  }

  /** Waits until the claim view names other holders, so that no shard is left with two. */
  async #waitForClaimHandover(): Promise<void> {
    const { clock, identity, logger, membership, views } = this.#parts;
    if (membership.nodes().length <= claimHolders) return;
    const giveUpAt = clock.now() + claimHandoverMilliseconds;
    while (isHolder(views.current(), identity) && clock.now() < giveUpAt) {
      await clock.sleep(pollMilliseconds);
    }
    if (isHolder(views.current(), identity)) {
      logger.warn('claim-handover-incomplete', 'the claim view still names this node as a holder', {
        claimHandoverMilliseconds,
      });
    }
  }

  async #close(): Promise<void> {
    const { announcements, executor, membership, operators, pool, supervisor } = this.#parts;
    await supervisor[Symbol.asyncDispose]();
    await membership[Symbol.asyncDispose]();
    await pool[Symbol.asyncDispose]();
    for (const listener of [announcements, operators]) {
      listener.destroy();
      await listener[Symbol.asyncDispose]();
    }
    await Promise.all(executor.backendServers.map((each) => executor.remove(each)));
  }

  async #within(work: Promise<unknown>, milliseconds: number): Promise<boolean> {
    const abort = new AbortController();
    const limit = this.#parts.clock.sleep(milliseconds, abort.signal).then(() => false);
    const finished = await Promise.race([work.then(() => true), limit]);
    abort.abort();
    return finished;
  }

  #describeMeasuring(): unknown {
    const { budget, pool } = this.#parts;
    const { sameFailureDomain, sameRegion, otherRegion } = Distance;
    const spent = (distance: Distance) => pool.traffic.countOf(distance, 'control').bytes;
    return {
      regionBytes: spent(sameFailureDomain) + spent(sameRegion),
      regionBytesPerSecondAllowed: budget.rate(sameRegion),
      linkBytes: spent(otherRegion),
      linkBytesPerSecondAllowed: budget.rate(otherRegion),
      rejectedCalls: budget.rejectedCalls,
    };
  }

  #listBackendServers(): unknown[] {
    const { executor, membership } = this.#parts;
    const load = new Map(
      executor.backendServers.map((each) => [each.announcement.backendServerId, each.report()]),
    );
    const services = this.#parts.routing.effective?.deployment.services ?? [];
    return services.flatMap(({ name }) =>
      membership.list(name).map((entry) => ({
        ...entry,
        verdict: membership.verdictOf(name, entry.backendServerId),
        load: load.get(entry.backendServerId),
      })),
    );
  }
}

function isHolder(view: ClaimView | undefined, { nodeId, incarnation }: NodeIdentity): boolean {
  const holders = view?.shards.flatMap((shard) => shard.holders) ?? [];
  return holders.some((holder) => holder.nodeId === nodeId && holder.incarnation === incarnation);
}
