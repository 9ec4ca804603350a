import type { HostDirectory, HostRegistration } from '@hickorybridge/membership';
import type { Logger } from '@hickorybridge/logger';
import type { PeerPool } from '@hickorybridge/peer-protocol';
import {
  succeed,
  type HostEntry,
  type LoadReport,
  type Result,
  type SocketAddress,
} from '@hickorybridge/types';
import {
  ListenerOpener,
  type Clock,
  type ListenError,
  type StallDetector,
  type Supervisor,
} from '@hickorybridge/utils';

import type { BackendServerRegistry } from './backend/BackendServerRegistry.js';
import { isListening } from './backend/isListening.js';
import type { CallersListener } from './callers/CallersListener.js';
import type { ReportsListener } from './control/ReportsListener.js';
import type { SettingsSource } from './control/SettingsFile.js';
import type { StatusListener } from './control/StatusListener.js';
import type { RequestRouter } from './routing/RequestRouter.js';

/** The components of a node, which `createHostNode` creates and connects. */
export interface HostNodeComponents {
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
  /** Resources that are released in this order after the background tasks have ended. */
  readonly disposables: readonly AsyncDisposable[];
  readonly stallDetector: Pick<StallDetector, 'unreadSince'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface Listener {
  listen(
    address: SocketAddress,
    opener: ListenerOpener,
  ): Promise<Result<SocketAddress, ListenError>>;
}

// Callers switch to another node after two failed readiness probes, which are a second apart.
const readinessPropagationMilliseconds = 2200;
// Part of the grace period that is reserved for sending responses before the process is killed.
const shutdownMarginMilliseconds = 300;
const exitMarginMilliseconds = 100;
// The platform excuses a request that the end of the grace period cuts off only if it was sent in the
// first 3 s, whatever the grace period. The rest is for requests that are read late.
const acceptingMilliseconds = 2800;
const shutdownPollMilliseconds = 20;

/** Routes the requests of the callers on its host, and admits requests to its backend server. */
export class HostNode implements AsyncDisposable {
  readonly #components: HostNodeComponents;

  #stopping: Promise<void> | undefined;

  #endsAt: number | undefined;

  readonly #startCancellation = new AbortController();

  constructor(components: HostNodeComponents) {
    this.#components = components;
  }

  get stopping(): boolean {
    return this.#stopping !== undefined;
  }

  /** When open requests are ended, in monotonic milliseconds; `undefined` unless stopping. */
  get endsAt(): number | undefined {
    return this.#endsAt;
  }

  /** Whether the readiness probe tells callers to use this node. */
  get ready(): boolean {
    return !this.stopping && this.#components.router.configuration !== undefined;
  }

  /** Version of the configuration in force; 0 before the first one is applied. */
  get configurationVersion(): number {
    return this.#components.router.configuration?.version ?? 0;
  }

  /** Number of hosts in the directory. */
  get hostCount(): number {
    return this.#components.directory.size;
  }

  /** Load of the backend server on this host; `undefined` before its first report. */
  get load(): LoadReport | undefined {
    return this.#components.backendServers.load();
  }

  /** Opens the listeners. Fails when one of their addresses cannot be used, or the node is stopped. */
  async start(): Promise<Result<undefined, ListenError>> {
    const { callers, clock, logger, metrics, pool, readiness, reports, settings } =
      this.#components;
    const { listenRetryMilliseconds, listeners, location, nodeId, service } = settings.current;
    const opener = new ListenerOpener({
      retryMilliseconds: listenRetryMilliseconds,
      clock,
      signal: this.#startCancellation.signal,
      onRetry: (detail) =>
        logger.warn('listener-retried', 'an address cannot be used yet and is tried again', {
          detail,
          retryMilliseconds: listenRetryMilliseconds,
        }),
    });
    const steps: readonly [Listener, SocketAddress][] = [
      [reports, listeners.reports],
      [pool, listeners.peers],
      [callers, listeners.callers],
      [readiness, listeners.readiness],
      [metrics, listeners.metrics],
    ];
    for (const [listener, address] of steps) {
      const opened = await listener.listen(address, opener);
      if (!opened.ok) return opened;
    }
    logger.info('node-started', 'the node accepts requests', {
      node: nodeId,
      service,
      ...location,
      peersPort: listeners.peers.port,
      metricsPort: listeners.metrics.port,
    });
    return succeed(undefined);
  }

  /** Registers this host and its backend server in the store. */
  register(): void {
    const { backendServers, registration, settings } = this.#components;
    const { current } = backendServers;
    const { listeners, location, nodeId } = settings.current;
    if (current === undefined) {
      this.#registerEarlyLeave();
      return;
    }
    const { backendServerId, service, slots, startedAt } = current.report;
    const entry: HostEntry = {
      nodeId,
      peerAddress: listeners.peers,
      location,
      service,
      backendServerId,
      slots,
      startedAt,
      leaving: current.leaving,
    };
    registration.set(entry);
  }

  /**
   * Stops the node. Open requests, and new ones of callers that have not switched to another node
   * yet, are served within the grace period.
   */
  async stop(): Promise<void> {
    this.#startCancellation.abort();
    this.#stopping ??= this.#shutDown();
    await this.#stopping;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.stop();
  }

  async #shutDown(): Promise<void> {
    const { callers, clock, logger, settings, stallDetector, supervisor } = this.#components;
    this.#unregisterIfGone();
    // The grace time runs from the signal, which a process that stood still notices late.
    const startedAt = stallDetector.unreadSince();
    const { graceMilliseconds } = settings.current.bounds;
    const limit = graceMilliseconds - shutdownMarginMilliseconds;
    this.#endsAt = startedAt + limit;
    logger.info('node-stopping', 'the node stops when its open requests are answered', {
      open: callers.open,
      lateMilliseconds: Math.round(clock.now() - startedAt),
    });
    const waitUntil = async (isReached: (elapsed: number) => boolean) => {
      do await clock.sleep(shutdownPollMilliseconds);
      while (!isReached(clock.now() - startedAt));
    };
    await waitUntil(
      (elapsed) =>
        elapsed > Math.min(acceptingMilliseconds, limit) ||
        (elapsed > readinessPropagationMilliseconds && this.#isIdle()),
    );
    // From here on a request is refused at once, and none starts that the exit would cut off.
    callers.stopAccepting();
    // A leave that was acknowledged binds the next process, too, which may get a late report.
    await waitUntil((elapsed) => elapsed > limit || (this.#isIdle() && this.#isLeaveStored()));
    if (!this.#isLeaveStored()) {
      logger.warn('leave-not-stored', 'the store does not know that the backend server has left');
    }
    logger.info('node-stopped', 'the node has stopped', {
      open: callers.open,
      milliseconds: Math.round(clock.now() - startedAt),
    });
    callers.endOpenRequests();
    const release = async () => {
      await supervisor[Symbol.asyncDispose]();
      for (const disposable of this.#components.disposables) {
        await disposable[Symbol.asyncDispose]();
      }
    };
    // A task or a peer that does not react must not delay the exit until the process is killed.
    const remaining = graceMilliseconds - exitMarginMilliseconds - (clock.now() - startedAt);
    await Promise.race([release(), clock.sleep(remaining)]);
  }

  /** Marks the entry from before the start of this node, if its backend server left without a report. */
  #registerEarlyLeave(): void {
    const { backendServers, registration } = this.#components;
    const entry = registration.stored;
    if (entry === undefined || entry.leaving || !backendServers.hasLeftEarly(entry)) return;
    registration.set({ ...entry, leaving: true });
  }

  /**
   * Removes the entry of this host if its backend server has left and ended. While that still runs,
   * the entry tells this node after a restart that it has left.
   */
  async #unregisterIfGone(): Promise<void> {
    const { backendServers, directory, registration, settings } = this.#components;
    const { backendServerAddress, nodeId } = settings.current;
    const hasLeft = backendServers.current?.leaving ?? directory.entry(nodeId)?.leaving ?? false;
    if (hasLeft && !(await isListening(backendServerAddress))) registration.set(undefined);
  }

  /** Whether a node that starts here finds in the store that the backend server leaves, if it does. */
  #isLeaveStored(): boolean {
    const { backendServers, registration } = this.#components;
    return backendServers.current?.leaving === false || registration.isCurrent;
  }

  /** Whether no request of a caller or a peer is open, and the backend server runs none. */
  #isIdle(): boolean {
    const { backendServers, callers, pool } = this.#components;
    const load = backendServers.load();
    const isBackendServerIdle = load === undefined || load.inFlight + load.queued === 0;
    return callers.open === 0 && pool.runningRequests === 0 && isBackendServerIdle;
  }
}
