import { SlotAdmission, type OccupancySummary, type Permit } from '@hickorybridge/admission';
import type { Logger } from '@hickorybridge/logger';
import {
  LossCause,
  type ExecutionOutcome,
  type RequestBody,
  type RequestExecutor,
} from '@hickorybridge/peer-protocol';
import type { BackendServerReport, LoadReport, RequestHead } from '@hickorybridge/types';
import type { Clock, HostSpeed } from '@hickorybridge/utils';

import {
  BackendServerExchange,
  type ExchangeOutcome,
  NotRunReason,
} from './BackendServerExchange.js';
import { ConnectionAgent } from './ConnectionAgent.js';

/** What the backend server beside this node is made of. */
export interface LocalBackendServerOptions {
  readonly report: BackendServerReport;
  readonly maxConnections: number;
  /** From the acknowledgement that it leaves to the last request that may start, in milliseconds. */
  readonly drainMilliseconds: number;
  readonly speed: HostSpeed;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Is told when another backend server answers at the address. */
  readonly onReplaced: () => void;
}

/** The calls of one request that have ended. */
interface NestedCallTotals {
  count: number;
  /** Summed over the calls, which may overlap. */
  milliseconds: number;
}

interface AdmittedRequest {
  readonly head: RequestHead;
  readonly body: RequestBody;
  readonly signal: AbortSignal;
  readonly permit: Permit;
  readonly calls: NestedCallTotals;
}

/** Where the time of a request went, in milliseconds. */
interface RequestTimings {
  readonly queued: number;
  readonly ran: number;
  readonly work: number;
  readonly calls: NestedCallTotals;
}

/** Share of the drain time in which queued requests may start; the rest allows for a slow node. */
const queueDrainShare = 0.6;
/** The caller's node ends a request at its deadline, at nearly the same time as this one. */
const deadlineToleranceMilliseconds = 50;

/** The backend server on this host, behind its admission. The only way to it. */
export class LocalBackendServer implements RequestExecutor, AsyncDisposable {
  readonly report: BackendServerReport;

  readonly #options: LocalBackendServerOptions;

  readonly #admission: SlotAdmission;

  readonly #agent: ConnectionAgent;

  /** The requests that the backend server runs, by their ids. */
  readonly #running = new Map<string, NestedCallTotals>();

  #leaving = false;

  #drainTimer: NodeJS.Timeout | undefined;

  constructor(options: LocalBackendServerOptions) {
    const { clock, report, speed } = options;
    this.#options = options;
    this.report = report;
    const { coldMilliseconds, slots } = report;
    this.#admission = new SlotAdmission({ slots, coldMilliseconds, speed, clock });
    this.#agent = new ConnectionAgent(Math.max(1, options.maxConnections));
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  load(): LoadReport {
    return this.#admission.report();
  }

  /** How it was used since the last call. */
  takeOccupancy(): OccupancySummary {
    return this.#admission.takeOccupancy();
  }

  /** Refuses new requests from now on; those queued may start for some time, those in flight go on. */
  leave(): void {
    if (this.#leaving) return;
    this.#leaving = true;
    this.#admission.leave();
    this.#drainTimer = setTimeout(
      () => this.#admission.refuseQueued(),
      this.#options.drainMilliseconds * queueDrainShare,
    );
  }

  /** Calls carry the id of the request that they belong to, a dot, and their own. */
  isNestedCall(requestId: string): boolean {
    return this.#callsOfParent(requestId) !== undefined;
  }

  /** Takes in how long a call lasted that a request made which runs here. */
  recordNestedCall(requestId: string, milliseconds: number): void {
    const calls = this.#callsOfParent(requestId);
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
    const admission = await this.#admission.admit({ ...head, signal });
    if (admission.type === 'refused') {
      return { type: 'refused', reason: admission.reason, report: this.load() };
    }
    const startedAt = clock.now();
    const startWork = speed.workAt(startedAt);
    const calls: NestedCallTotals = { count: 0, milliseconds: 0 };
    const outcome = await this.#run({ head, body, signal, permit: admission.permit, calls });
    const now = clock.now();
    const work = speed.workAt(now) - startWork;
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

  /** Tells where the time of a request went that was late or not answered. */
  #logLate(
    { depth, kind, requestId }: RequestHead,
    outcome: ExchangeOutcome,
    { calls, queued: waited, ran, work }: RequestTimings,
  ): void {
    const { inFlight, limit, queued, workFactor } = this.load();
    this.#options.logger.info('request-late-here', 'a request was late or not answered', {
      requestId,
      route: kind,
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

  #callsOfParent(requestId: string): NestedCallTotals | undefined {
    const end = requestId.lastIndexOf('.');
    return end > 0 ? this.#running.get(requestId.slice(0, end)) : undefined;
  }

  async #run({ body, calls, head, permit, signal }: AdmittedRequest): Promise<ExchangeOutcome> {
    const { clock, report } = this.#options;
    const startedAt = clock.now();
    // Checked again here, because this process may have been paused since the admission.
    if (signal.aborted || startedAt >= head.deadline) {
      permit.release();
      return { type: 'not-run', reason: NotRunReason.cancelled };
    }
    this.#running.set(head.requestId, calls);
    let timer: NodeJS.Timeout | undefined;
    const exchange = new BackendServerExchange({
      agent: this.#agent,
      ...report.address,
      head,
      body,
      clock,
      onLoad: ({ workFactor }) => this.#recordWorkFactor(workFactor),
      onEnd: (served) => {
        clearTimeout(timer);
        this.#running.delete(head.requestId);
        const now = clock.now();
        // Without those that were cut at their deadlines, slow work would look quicker than it is.
        const cutAtDeadline = now > head.deadline - deadlineToleranceMilliseconds;
        permit.release(served || cutAtDeadline ? now - startedAt : undefined);
      },
    });
    // Runs until the exchange ends and not only until its answer begins: a body may have no end.
    timer = setTimeout(() => exchange.cancel(LossCause.deadline), head.deadline - startedAt);
    const cancel = () => exchange.cancel(LossCause.connection);
    signal.addEventListener('abort', cancel, { once: true });
    const outcome = await exchange.outcome;
    signal.removeEventListener('abort', cancel);
    return outcome;
  }

  #toExecutionOutcome(outcome: ExchangeOutcome, work: number): ExecutionOutcome {
    switch (outcome.type) {
      case 'answered':
        return { ...outcome, report: this.#admission.report(Math.max(0, work)) };
      case 'not-run':
        if (outcome.reason === NotRunReason.otherBackendServer) this.#options.onReplaced();
        return { type: 'refused', reason: outcome.reason, report: this.load() };
      default:
        return outcome;
    }
  }
}
