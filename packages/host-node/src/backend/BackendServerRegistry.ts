import type { ColdLimit, OccupancySummary, RefusalSummary } from '@hickorybridge/admission';
import type { Logger } from '@hickorybridge/logger';
import type { ExecutionOutcome, RequestBody, RequestExecutor } from '@hickorybridge/peer-protocol';
import type {
  BackendServerReport,
  HostEntry,
  LoadReport,
  RefusalReason,
  RequestHead,
} from '@hickorybridge/types';
import type { Clock, HostSpeedModel } from '@hickorybridge/utils';

import { IncarnationHistory, ReportVerdict } from './IncarnationHistory.js';
import type { Leave } from './Leave.js';
import { ReportConfirmation } from './ReportConfirmation.js';
import { LocalBackendServer } from './LocalBackendServer.js';

export interface BackendServerRegistryOptions {
  /** Whether a report describes a backend server of this host. */
  readonly isLocalReport: (report: BackendServerReport) => boolean;
  readonly maxConnectionsOf: (service: string) => number;
  /** Limit on the requests to a cold backend server; `undefined` if there is none. */
  readonly coldLimitOf: (service: string) => ColdLimit | undefined;
  readonly drainMilliseconds: number;
  /** Asks a backend server itself whether it is healthy and not leaving. */
  readonly isServing: (report: BackendServerReport) => Promise<boolean>;
  /** Usual time between two reports of a backend server. */
  readonly reportIntervalMilliseconds: number;
  /** Why requests may not reach the backend servers of this host at present, if so. */
  readonly reasonToRefuse: () => RefusalReason | undefined;
  /** Called when the current backend server is replaced, removed or starts to leave. */
  readonly onCurrentChanged: () => void;
  readonly speed: HostSpeedModel;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Tracks the backend server of this host, solely from the reports that it sends. */
export class BackendServerRegistry implements RequestExecutor, AsyncDisposable {
  readonly #options: BackendServerRegistryOptions;

  readonly #history = new IncarnationHistory();

  #current: LocalBackendServer | undefined;

  /** The latest leave notice of a backend server that has not reported itself to this node. */
  #earlyLeave: Leave | undefined;

  readonly #confirmation: ReportConfirmation;

  /** The latest report that is not confirmed by another one yet. */
  #unconfirmed: BackendServerReport | undefined;

  /** The latest leave that the store was seen to hold for this host. */
  #storedLeave: Leave | undefined;

  constructor(options: BackendServerRegistryOptions) {
    this.#options = options;
    this.#confirmation = new ReportConfirmation(options.reportIntervalMilliseconds);
  }

  get current(): LocalBackendServer | undefined {
    return this.#current;
  }

  /** Processes a report. Outdated reports and those of an earlier incarnation are ignored. */
  handleReport(report: BackendServerReport): void {
    const { logger } = this.#options;
    if (!this.#options.isLocalReport(report)) {
      logger.warn(
        'report-ignored',
        'ignored a report that does not describe a backend server of this host',
        {
          backendServer: report.backendServerId,
          service: report.service,
          address: `${report.address.host}:${report.address.port}`,
        },
      );
      return;
    }
    if (this.#holdBack(report)) return;
    switch (this.#history.record(report)) {
      case ReportVerdict.newIncarnation: {
        const hasLeft = this.#isStoredAsLeaving(report);
        if (hasLeft) this.#history.recordLeave(report.backendServerId, report.startedAt);
        this.#replaceCurrent({ ...report, draining: report.draining || hasLeft });
        break;
      }
      case ReportVerdict.takeover:
        this.#replaceCurrent(report);
        break;
      case ReportVerdict.newest:
        this.#current?.recordColdTime(report.coldMilliseconds);
        if (report.draining) this.handleLeave(report.backendServerId, report.startedAt);
        break;
      case ReportVerdict.leave:
        this.#leaveCurrent();
        break;
      default:
    }
  }

  /** Handles a leave notice; `startedAt` is 0 when the notice names no incarnation. */
  handleLeave(backendServerId: string, startedAt: number): void {
    if (this.#history.recordLeave(backendServerId, startedAt)) this.#leaveCurrent();
    this.#dropUnconfirmed(backendServerId, startedAt);
    if (this.#current !== undefined) return;
    this.#earlyLeave = { backendServerId, startedAt };
    this.#options.onCurrentChanged();
  }

  /** The backend server that has announced that it leaves; `undefined` if none has. */
  get leave(): Leave | undefined {
    const current = this.#current;
    if (current === undefined) return this.#earlyLeave;
    return current.leaving ? current.report : undefined;
  }

  /** Takes in a leave that a peer has held since before this node was started. */
  handleReturnedLeave({ backendServerId, startedAt }: Leave): void {
    if (this.#current === undefined) this.handleLeave(backendServerId, startedAt);
    else if (this.#history.recordStoredLeave(backendServerId, startedAt)) this.#leaveCurrent();
  }

  /** Whether the backend server of an entry has left, according to a notice without a report. */
  hasLeftEarly({ backendServerId, startedAt = 0 }: HostEntry): boolean {
    const leave = this.#earlyLeave;
    if (leave?.backendServerId !== backendServerId) return false;
    return leave.startedAt === 0 || leave.startedAt === startedAt;
  }

  /**
   * Takes in what the store holds for this host. A restarted node may get a late report from before
   * the backend server left, and may read the store only after that report.
   */
  handleStoredEntry({ backendServerId, leaving, startedAt = -1 }: HostEntry): void {
    if (!leaving) return;
    this.#storedLeave = { backendServerId, startedAt };
    if (this.#history.recordStoredLeave(backendServerId, startedAt)) {
      this.#leaveCurrent();
    }
  }

  /** Takes in that no former process of this host has registered it, or acknowledged a leave. */
  handleNewHost(): void {
    this.#confirmation.waive();
    if (this.#unconfirmed !== undefined) this.#useUnconfirmed(this.#unconfirmed);
  }

  async execute(
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<ExecutionOutcome> {
    const current = this.#current;
    if (current === undefined) return refusal('not-ready');
    if (current.report.backendServerId !== head.backendServerId) {
      return refusal('no-such-backend-server');
    }
    const reason = this.#options.reasonToRefuse();
    if (reason !== undefined) return refusal(reason);
    return current.execute(head, body, signal);
  }

  /** Refuses the requests that wait for a slot; requests in flight continue. */
  refuseQueued(): void {
    this.#current?.refuseQueued();
  }

  /** Whether the id is that of a call made by a request that the backend server is running. */
  isNestedCall(requestId: string): boolean {
    return this.#current?.isNestedCall(requestId) ?? false;
  }

  /** Whether the id is that of a call made by a run that repeats another one. */
  isBelowRepeat(requestId: string): boolean {
    return this.#current?.isBelowRepeat(requestId) ?? false;
  }

  /** Records the duration of a finished call that a running request may have made. */
  recordNestedCall(requestId: string, milliseconds: number): void {
    this.#current?.recordNestedCall(requestId, milliseconds);
  }

  /** Returns the slot usage of the current backend server since the previous call. */
  takeOccupancy(): OccupancySummary | undefined {
    return this.#current?.takeOccupancy();
  }

  /** Returns the refusals of tenants by the current backend server since the previous call. */
  takeRefusals(): RefusalSummary | undefined {
    return this.#current?.takeRefusals();
  }

  load(): LoadReport | undefined {
    return this.#current?.load();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#current?.[Symbol.asyncDispose]();
  }

  /** Keeps back a report that has to be confirmed, and returns whether it does. */
  #holdBack(report: BackendServerReport): boolean {
    const { backendServerId, draining, sequence, startedAt } = report;
    if (draining || this.#history.hasEnded(backendServerId, startedAt)) return false;
    if (this.#confirmation.confirm(report, this.#options.clock.now())) {
      this.#unconfirmed = undefined;
      return false;
    }
    this.#unconfirmed = report;
    this.#askUnconfirmed(report);
    this.#options.logger.info(
      'report-unconfirmed',
      'a first report after the start of this node may be from before a leave',
      { backendServer: backendServerId, startedAt, sequence },
    );
    return true;
  }

  /** Spares a backend server that is known to serve the wait for its next report. */
  async #askUnconfirmed(report: BackendServerReport): Promise<void> {
    const isServing = await this.#options.isServing(report);
    if (isServing && this.#unconfirmed === report) this.#useUnconfirmed(report);
  }

  #useUnconfirmed(report: BackendServerReport): void {
    this.#confirmation.waive();
    this.handleReport(report);
  }

  /** Drops an unconfirmed report of a backend server that leaves. */
  #dropUnconfirmed(backendServerId: string, startedAt: number): void {
    const report = this.#unconfirmed;
    if (report?.backendServerId !== backendServerId) return;
    if (startedAt !== 0 && startedAt !== report.startedAt) return;
    this.#unconfirmed = undefined;
    this.#history.recordLeave(backendServerId, report.startedAt);
  }

  #isStoredAsLeaving({ backendServerId, startedAt }: BackendServerReport): boolean {
    const leave = this.#storedLeave;
    return leave?.backendServerId === backendServerId && leave.startedAt >= startedAt;
  }

  #replaceCurrent(report: BackendServerReport): void {
    const { logger } = this.#options;
    const previous = this.#current;
    logger.info(
      'backend-server-joined',
      'received a report from a new backend server of this host',
      {
        backendServer: report.backendServerId,
        service: report.service,
        slots: report.slots,
        startedAt: report.startedAt,
        sequence: report.sequence,
        leaving: report.draining,
      },
    );
    previous?.leave();
    const next = new LocalBackendServer({
      report,
      maxConnections: this.#options.maxConnectionsOf(report.service),
      coldLimit: () => this.#options.coldLimitOf(report.service),
      startedAt: this.#startOf(report),
      drainMilliseconds: this.#options.drainMilliseconds,
      speed: this.#options.speed,
      clock: this.#options.clock,
      logger,
      onReplaced: () => this.#handleReplaced(next),
    });
    if (report.draining) next.leave();
    this.#current = next;
    this.#options.onCurrentChanged();
  }

  /** Estimates when a backend server was started, in monotonic milliseconds. */
  #startOf({ startedAt }: BackendServerReport): number {
    const { clock } = this.#options;
    // A node that was restarted finds a backend server that may have started long before. One that
    // replaces another has just started, whatever its wall clock says.
    const isOlder = this.#current === undefined && startedAt > 0;
    const age = isOlder ? Math.max(0, clock.wallTime() - startedAt) : 0;
    return clock.now() - age;
  }

  #leaveCurrent(): void {
    const current = this.#current;
    if (current === undefined) return;
    const { backendServerId, sequence, startedAt } = current.report;
    this.#options.logger.info(
      'backend-server-leaving',
      'the backend server is leaving and takes no new requests',
      { backendServer: backendServerId, startedAt, firstSequence: sequence },
    );
    current.leave();
    this.#options.onCurrentChanged();
  }

  /** Drops a backend server after another one, which will report itself, answered at its address. */
  #handleReplaced(backendServer: LocalBackendServer): void {
    if (this.#current !== backendServer) return;
    this.#options.logger.warn(
      'backend-server-replaced',
      'another backend server answers at the address of this one',
      {
        backendServer: backendServer.report.backendServerId,
      },
    );
    backendServer.leave();
    this.#history.recordEnd();
    this.#current = undefined;
    this.#options.onCurrentChanged();
  }
}

function refusal(reason: RefusalReason): ExecutionOutcome {
  return { type: 'refused', reason, report: undefined };
}
