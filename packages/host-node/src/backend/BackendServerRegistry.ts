import type { OccupancySummary } from '@hickorybridge/admission';
import type { Logger } from '@hickorybridge/logger';
import type { ExecutionOutcome, RequestBody, RequestExecutor } from '@hickorybridge/peer-protocol';
import type { BackendServerReport, LoadReport, RequestHead } from '@hickorybridge/types';
import type { Clock, HostSpeed } from '@hickorybridge/utils';

import { LocalBackendServer } from './LocalBackendServer.js';

/** What the registry of this host's backend server needs. */
export interface BackendServerRegistryOptions {
  /** Whether a report describes a backend server of this host. */
  readonly isLocalReport: (report: BackendServerReport) => boolean;
  readonly maxConnectionsOf: (service: string) => number;
  readonly drainMilliseconds: number;
  /** Is told when another backend server is in use, or it leaves. */
  readonly onCurrentChanged: () => void;
  readonly speed: HostSpeed;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The last that was heard of one incarnation of a backend server. */
interface IncarnationState {
  readonly startedAt: number;
  sequence: number;
  leaving: boolean;
}

/** Incarnations that are remembered, so that a late report of one of them changes nothing. */
const maxIncarnations = 64;

/** Knows the backend server beside this node from what it says itself, and nothing else. */
export class BackendServerRegistry implements RequestExecutor, AsyncDisposable {
  readonly #options: BackendServerRegistryOptions;

  readonly #incarnations = new Map<string, IncarnationState>();

  #current: LocalBackendServer | undefined;

  constructor(options: BackendServerRegistryOptions) {
    this.#options = options;
  }

  get current(): LocalBackendServer | undefined {
    return this.#current;
  }

  /** Takes in a report. Late ones, and those of an earlier incarnation, change nothing. */
  handleReport(report: BackendServerReport): void {
    const { logger } = this.#options;
    if (!this.#options.isLocalReport(report)) {
      logger.warn('report-ignored', 'a report describes no backend server of this host', {
        backendServer: report.backendServerId,
        service: report.service,
        address: `${report.address.host}:${report.address.port}`,
      });
      return;
    }
    const incarnation = this.#incarnations.get(report.backendServerId);
    if (incarnation !== undefined && incarnation.startedAt > report.startedAt) return;
    if (incarnation === undefined || incarnation.startedAt < report.startedAt) {
      this.#trackIncarnation(report);
      this.#replaceCurrent(report);
      return;
    }
    if (report.sequence <= incarnation.sequence) return;
    incarnation.sequence = report.sequence;
    if (report.draining) this.#markLeaving(report.backendServerId);
  }

  /** The backend server leaves; `startedAt` is 0 when it does not say which incarnation. */
  handleLeave(backendServerId: string, startedAt: number): void {
    const incarnation = this.#incarnations.get(backendServerId);
    if (incarnation === undefined || (startedAt !== 0 && startedAt < incarnation.startedAt)) return;
    this.#markLeaving(backendServerId);
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
    return current.execute(head, body, signal);
  }

  /** Whether an id extends that of a request which the backend server runs now. */
  isNestedCall(requestId: string): boolean {
    return this.#current?.isNestedCall(requestId) ?? false;
  }

  /** A call of a request that the backend server may be running has ended. */
  recordNestedCall(requestId: string, milliseconds: number): void {
    this.#current?.recordNestedCall(requestId, milliseconds);
  }

  /** How the backend server in use was used since the last call. */
  takeOccupancy(): OccupancySummary | undefined {
    return this.#current?.takeOccupancy();
  }

  load(): LoadReport | undefined {
    return this.#current?.load();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#current?.[Symbol.asyncDispose]();
  }

  #trackIncarnation({ backendServerId, draining, sequence, startedAt }: BackendServerReport): void {
    this.#incarnations.delete(backendServerId);
    this.#incarnations.set(backendServerId, { startedAt, sequence, leaving: draining });
    const [oldest] = this.#incarnations.keys();
    if (this.#incarnations.size > maxIncarnations && oldest !== undefined)
      this.#incarnations.delete(oldest);
  }

  #replaceCurrent(report: BackendServerReport): void {
    const { logger } = this.#options;
    const previous = this.#current;
    if (previous !== undefined && previous.report.startedAt > report.startedAt) return;
    logger.info('backend-server-joined', 'a backend server of this host has reported', {
      backendServer: report.backendServerId,
      service: report.service,
      slots: report.slots,
      startedAt: report.startedAt,
      sequence: report.sequence,
      leaving: report.draining,
    });
    previous?.leave();
    const next = new LocalBackendServer({
      report,
      maxConnections: this.#options.maxConnectionsOf(report.service),
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

  #markLeaving(backendServerId: string): void {
    const incarnation = this.#incarnations.get(backendServerId);
    if (incarnation === undefined || incarnation.leaving) return;
    incarnation.leaving = true;
    this.#options.logger.info('backend-server-leaving', 'takes no new requests from now on', {
      backendServer: backendServerId,
      sequence: incarnation.sequence,
    });
    if (this.#current?.report.backendServerId !== backendServerId) return;
    this.#current.leave();
    this.#options.onCurrentChanged();
  }

  /** Another backend server answers at the address; it reports itself soon. */
  #handleReplaced(backendServer: LocalBackendServer): void {
    if (this.#current !== backendServer) return;
    this.#options.logger.warn('backend-server-replaced', 'another one answers at its address', {
      backendServer: backendServer.report.backendServerId,
    });
    backendServer.leave();
    this.#current = undefined;
    this.#options.onCurrentChanged();
  }
}

function refusal(reason: 'not-ready' | 'no-such-backend-server'): ExecutionOutcome {
  return { type: 'refused', reason, report: undefined };
}
