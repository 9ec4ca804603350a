import type { HostDirectory, HostRegistration } from '@hickorybridge/membership';
import type { Logger } from '@hickorybridge/logger';
import type { PeerPool } from '@hickorybridge/peer-protocol';
import type { HostEntry, LoadReport } from '@hickorybridge/types';
import type { Clock, Supervisor } from '@hickorybridge/utils';

import type { BackendServerRegistry } from './backend/BackendServerRegistry.js';
import type { CallersListener } from './callers/CallersListener.js';
import type { ReportsListener } from './control/ReportsListener.js';
import type { SettingsSource } from './control/SettingsFile.js';
import type { StatusListener } from './control/StatusListener.js';
import type { RequestRouter } from './routing/RequestRouter.js';

/** The parts of a node, as `createHostNode` wires them. */
export interface HostNodeParts {
  readonly settings: SettingsSource;
  readonly backendServers: BackendServerRegistry;
  readonly router: RequestRouter;
  readonly pool: PeerPool;
  readonly directory: HostDirectory;
  readonly registration: HostRegistration;
  readonly callers: CallersListener;
  readonly reports: ReportsListener;
  readonly readiness: StatusListener;
  readonly metrics: StatusListener;
  readonly supervisor: Supervisor;
  /** The parts that only have to be closed. */
  readonly closeables: readonly AsyncDisposable[];
  readonly clock: Clock;
  readonly logger: Logger;
}

// Callers are told by two missed probes, a second apart, that they are to use another node.
const callersLeaveMilliseconds = 2200;
// Time that is left for the answers when the process is about to be killed.
const graceMarginMilliseconds = 300;
// Share of the grace time in which new requests are taken; the rest is for those that run.
const intakeShare = 0.45;
const pollMilliseconds = 20;

/** One node: takes the requests of its host's callers, and admits those for its backend server. */
export class HostNode implements AsyncDisposable {
  readonly #parts: HostNodeParts;

  #stopping: Promise<void> | undefined;

  constructor(parts: HostNodeParts) {
    this.#parts = parts;
  }

  get stopping(): boolean {
    return this.#stopping !== undefined;
  }

  /** Whether callers are to use this node. */
  get ready(): boolean {
    return !this.stopping && this.#parts.router.configuration !== undefined;
  }

  /** Version of the configuration in force; 0 before the first. */
  get configurationVersion(): number {
    return this.#parts.router.configuration?.version ?? 0;
  }

  /** Number of hosts that the node knows. */
  get hostCount(): number {
    return this.#parts.directory.size;
  }

  /** Load of the backend server beside this node; `undefined` before it has reported itself. */
  get load(): LoadReport | undefined {
    return this.#parts.backendServers.load();
  }

  /** Opens the listeners. */
  async start(): Promise<void> {
    const { callers, logger, metrics, pool, readiness, reports, settings } = this.#parts;
    const { listeners, location, nodeId, service } = settings.current;
    await reports.listen(listeners.reports);
    const listening = await pool.listen(listeners.peers);
    if (!listening.ok) throw new Error(listening.error.detail);
    await callers.listen(listeners.callers);
    await readiness.listen(listeners.readiness);
    await metrics.listen(listeners.metrics);
    logger.info('node-started', 'the node takes requests', {
      node: nodeId,
      service,
      ...location,
      peersPort: listeners.peers.port,
      metricsPort: listeners.metrics.port,
    });
  }

  /** Writes what this host offers into the store. */
  register(): void {
    const { backendServers, registration, settings } = this.#parts;
    const { current } = backendServers;
    const { listeners, location, nodeId } = settings.current;
    if (current === undefined) return;
    const { backendServerId, service, slots } = current.report;
    const entry: HostEntry = {
      nodeId,
      peerAddress: listeners.peers,
      location,
      service,
      backendServerId,
      slots,
      leaving: current.leaving,
    };
    registration.set(entry);
  }

  /** Stops gracefully: open requests and those of callers that do not know yet are served. */
  async stop(): Promise<void> {
    this.#stopping ??= this.#shutDown();
    await this.#stopping;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.stop();
  }

  async #shutDown(): Promise<void> {
    const { backendServers, callers, clock, logger, registration, settings, supervisor } =
      this.#parts;
    // The backend server has ended before the node: the host is taken away.
    if (backendServers.current?.leaving === true) registration.set(undefined);
    const startedAt = clock.now();
    const limit = settings.current.bounds.graceMilliseconds - graceMarginMilliseconds;
    logger.info('node-stopping', 'stops when its open requests are answered', {
      open: callers.open,
    });
    while (clock.now() - startedAt < limit) {
      const elapsed = clock.now() - startedAt;
      const callersLeft = elapsed > callersLeaveMilliseconds;
      if (elapsed > limit * intakeShare) callers.stopAccepting();
      if (callersLeft && callers.open === 0 && this.#isBackendServerIdle()) break;
      await clock.sleep(pollMilliseconds);
    }
    logger.info('node-stopped', 'the node has ended', {
      open: callers.open,
      milliseconds: Math.round(clock.now() - startedAt),
    });
    await supervisor[Symbol.asyncDispose]();
    for (const part of this.#parts.closeables) await part[Symbol.asyncDispose]();
  }

  #isBackendServerIdle(): boolean {
    const load = this.#parts.backendServers.load();
    return load === undefined || load.inFlight + load.queued === 0;
  }
}
