import {
  ColdRateLimiter,
  SlotAdmissionController,
  type ColdLimit,
  type OccupancySummary,
  type Permit,
  type RefusalSummary,
} from '@hickorybridge/admission';
import type { Logger } from '@hickorybridge/logger';
import {
  LossCause,
  type ExecutionOutcome,
  type RequestBody,
  type RequestExecutor,
} from '@hickorybridge/peer-protocol';
import type { BackendServerReport, LoadReport, RequestHead } from '@hickorybridge/types';
import type { Clock, HostSpeedModel } from '@hickorybridge/utils';

import {
  BackendServerExchange,
  type ExchangeOptions,
  type ExchangeOutcome,
  NotRunReason,
} from './BackendServerExchange.js';
import { ConnectionAgent } from './ConnectionAgent.js';

export interface LocalBackendServerOptions {
  readonly report: BackendServerReport;
  readonly maxConnections: number;
  /** Limit on the requests that it gets while it is cold; `undefined` while there is none. */
  readonly coldLimit: () => ColdLimit | undefined;
  /** Start of the backend server, in monotonic milliseconds. */
  readonly startedAt: number;
  /** Time from the acknowledged leave notice until the last request may start. */
  readonly drainMilliseconds: number;
  readonly speed: HostSpeedModel;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called when another backend server answers at the address. */
  readonly onReplaced: () => void;
}

/** Totals of the finished calls that one request made. */
interface RunningRequest {
  readonly calls: NestedCallTotals;
  readonly isRepeat: boolean;
}

interface NestedCallTotals {
  count: number;
  /** Sum of the durations of the calls, which may overlap. */
  milliseconds: number;
}

interface AdmittedRequest {
  readonly head: RequestHead;
  readonly body: RequestBody;
  readonly signal: AbortSignal;
  readonly permit: Permit;
  readonly calls: NestedCallTotals;
}

/** Breakdown of the time that a request took, in milliseconds. */
interface RequestTimings {
  readonly queued: number;
  readonly ran: number;
  readonly work: number;
  readonly calls: NestedCallTotals;
}

/** Share of the drain time in which queued requests may start; the rest allows for a slow node. */
const queueDrainShare = 0.6;
/** The caller's node cancels at the same deadline, so its cancellation may arrive a bit earlier. */
const deadlineToleranceMilliseconds = 50;

/** The backend server of this host. All requests to it pass through its admission control here. */
export class LocalBackendServer implements RequestExecutor, AsyncDisposable {
  readonly report: BackendServerReport;

  readonly #options: LocalBackendServerOptions;

  readonly #admission: SlotAdmissionController;

  readonly #coldRateLimiter: ColdRateLimiter;

  readonly #agent: ConnectionAgent;

  /** The running requests, by request id. */
  readonly #running = new Map<string, RunningRequest>();

  #leaving = false;

  #drainTimer: NodeJS.Timeout | undefined;

  constructor(options: LocalBackendServerOptions) {
    const { clock, coldLimit, report, speed, startedAt } = options;
    this.#options = options;
    this.report = report;
    const { coldMilliseconds, slots } = report;
    this.#coldRateLimiter = new ColdRateLimiter({ limit: coldLimit, startedAt, clock });
    this.#coldRateLimiter.recordReport(coldMilliseconds);
    this.#admission = new SlotAdmissionController({
      slots,
      coldMilliseconds,
      coldRateLimiter: this.#coldRateLimiter,
      speed,
      clock,
    });
    this.#agent = new ConnectionAgent(Math.max(1, options.maxConnections));
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  load(): LoadReport {
    return this.#admission.report();
  }

  /** Returns the slot usage since the previous call of this method. */
  takeOccupancy(): OccupancySummary {
    return this.#admission.takeOccupancy();
  }

  /** Returns the refusals of tenants since the previous call of this method. */
  takeRefusals(): RefusalSummary {
    return this.#admission.takeRefusals();
  }

  /**
   * Refuses new requests from now on. Queued requests may start for part of the drain time, and
   * requests in flight continue.
   */
  leave(): void {
    if (this.#leaving) return;
    this.#leaving = true;
    this.#admission.stopAdmitting();
    this.#drainTimer = setTimeout(
      () => this.#admission.refuseQueued(),
      this.#options.drainMilliseconds * queueDrainShare,
    );
  }

  /** Records the remaining cold time of a later report. */
  recordColdTime(coldMilliseconds: number): void {
    const wasLimited = this.isRateLimited;
    this.#coldRateLimiter.recordReport(coldMilliseconds);
    if (wasLimited || !this.isRateLimited) return;
    this.#options.logger.info(
      'backend-server-cold',
      'the backend server is cold again, and the rate of its requests is limited',
      {
        backendServer: this.report.backendServerId,
        coldMilliseconds,
        requestsPerSecond: this.#coldRateLimiter.requestsPerSecond,
      },
    );
  }

  /** Whether the rate of requests is limited because the backend server is cold. */
  get isRateLimited(): boolean {
    return this.#coldRateLimiter.requestsPerSecond !== undefined;
  }

  /** Refuses the requests that wait for a slot; requests in flight continue. */
  refuseQueued(): void {
    this.#admission.refuseQueued();
  }

  /** A nested call has the id of its parent request, a dot and an id of its own. */
  isNestedCall(requestId: string): boolean {
    return this.#parentOf(requestId) !== undefined;
  }

  /** Whether the id is that of a call made by a run that repeats another one. */
  isBelowRepeat(requestId: string): boolean {
    return this.#parentOf(requestId)?.isRepeat ?? false;
  }

  /** Records the duration of a call, if its parent request is running here. */
  recordNestedCall(requestId: string, milliseconds: number): void {
    const calls = this.#parentOf(requestId)?.calls;
    if (calls === undefined) return;
    calls.count += 1;
    calls.milliseconds += milliseconds;
  }

  async execute(
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<ExecutionOutcome> {
    const { clock, speed } = this.#options;
    const arrivedAt = clock.now();
    if (head.isHedge === true && !this.#hasFreeSlot()) {
      return { type: 'refused', reason: 'queue-full', report: this.load() };
    }
    const admission = await this.#admission.admit({ ...head, signal });
    if (admission.type === 'refused') {
      return { type: 'refused', reason: admission.reason, report: this.load() };
    }
    const startedAt = clock.now();
    const startWork = speed.completedWorkAt(startedAt);
    const calls: NestedCallTotals = { count: 0, milliseconds: 0 };
    const outcome = await this.#run({ head, body, signal, permit: admission.permit, calls });
    const now = clock.now();
    const work = speed.completedWorkAt(now) - startWork;
    if (outcome.type !== 'answered' || now > (head.usefulUntil ?? head.deadline)) {
      this.#logLate(head, outcome, {
        queued: startedAt - arrivedAt,
        ran: now - startedAt,
        work,
        calls,
      });
    }
    return this.#toExecutionOutcome(outcome, work);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.leave();
    clearTimeout(this.#drainTimer);
    this.#agent.destroy();
  }

  /** Whether a slot is free that is not reserved for nested calls, and nobody waits for it. */
  #hasFreeSlot(): boolean {
    const { inFlight, limit, queued, reserved = 0 } = this.load();
    return queued === 0 && inFlight + reserved < limit;
  }

  /** Logs how the time of a late or unanswered request was spent. */
  #logLate(
    { depth, kind, requestId, tenant, tenantPriority }: RequestHead,
    outcome: ExchangeOutcome,
    { calls, queued: waited, ran, work }: RequestTimings,
  ): void {
    const { inFlight, limit, queued, workFactor } = this.load();
    this.#options.logger.info('request-late-here', 'a request was answered late or not at all', {
      requestId,
      route: kind,
      tenant,
      tenantPriority,
      depth,
      outcome: outcome.type === 'answered' ? outcome.head.status : outcome.type,
      queuedMilliseconds: Math.round(waited),
      ranMilliseconds: Math.round(ran),
      workMilliseconds: Math.round(work),
      calls: calls.count,
      callsMilliseconds: Math.round(calls.milliseconds),
      inFlight,
      queued,
      limit,
      workFactor,
    });
  }

  #recordWorkFactor(workFactor: number): void {
    const { clock, speed } = this.#options;
    speed.observe(workFactor, clock.now());
  }

  #parentOf(requestId: string): RunningRequest | undefined {
    const end = requestId.lastIndexOf('.');
    return end > 0 ? this.#running.get(requestId.slice(0, end)) : undefined;
  }

  async #run({ body, calls, head, permit, signal }: AdmittedRequest): Promise<ExchangeOutcome> {
    const { clock, report } = this.#options;
    const startedAt = clock.now();
    // Checked again, because this process may have been paused since the request was admitted.
    if (signal.aborted || startedAt >= head.deadline) {
      permit.release();
      return { type: 'not-run', reason: NotRunReason.cancelled };
    }
    this.#running.set(head.requestId, { calls, isRepeat: head.isRepeat ?? false });
    let timer: NodeJS.Timeout | undefined;
    const onEnd = (served: boolean) => {
      clearTimeout(timer);
      this.#running.delete(head.requestId);
      const now = clock.now();
      // Durations cut off at the deadline count too: without them slow work would look faster.
      const cutAtDeadline = now > head.deadline - deadlineToleranceMilliseconds;
      permit.release(served || cutAtDeadline ? now - startedAt : undefined);
    };
    const exchange = this.#startExchange({
      agent: this.#agent,
      ...report.address,
      head,
      body,
      clock,
      onLoad: ({ workFactor }) => this.#recordWorkFactor(workFactor),
      onEnd,
    });
    if (exchange === undefined) {
      onEnd(false);
      return { type: 'not-run', reason: NotRunReason.notSendable };
    }
    // Covers the whole exchange and not only the wait for the answer: a body may be endless.
    timer = setTimeout(() => exchange.cancel(LossCause.deadline), head.deadline - startedAt);
    const cancel = () => exchange.cancel(LossCause.connection);
    signal.addEventListener('abort', cancel, { once: true });
    const outcome = await exchange.outcome;
    signal.removeEventListener('abort', cancel);
    return outcome;
  }

  /** Sends a request; `undefined` if the HTTP client cannot send it, because of a header or path. */
  #startExchange(options: ExchangeOptions): BackendServerExchange | undefined {
    try {
      return new BackendServerExchange(options);
    } catch (error) {
      this.#options.logger.warn('request-not-sendable', 'a request cannot be sent as HTTP', {
        requestId: options.head.requestId,
        detail: String(error),
      });
      return undefined;
    }
  }

  #toExecutionOutcome(outcome: ExchangeOutcome, work: number): ExecutionOutcome {
    switch (outcome.type) {
      case 'answered':
        return { ...outcome, report: this.#admission.report(Math.max(0, work)) };
      case 'not-run':
        if (outcome.reason === NotRunReason.misdirected) this.#options.onReplaced();
        return { type: 'refused', reason: outcome.reason, report: this.load() };
      default:
        return outcome;
    }
  }
}
