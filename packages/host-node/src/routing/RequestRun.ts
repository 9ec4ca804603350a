import {
  canSendBody,
  discardBody,
  LossCause,
  runHedged,
  type ExecutionOutcome,
  type RequestBody,
} from '@hickorybridge/peer-protocol';
import type { RetryAllowance } from '@hickorybridge/coordination';
import type { Logger } from '@hickorybridge/logger';
import {
  computeRetryAfter,
  isInAllowedRegion,
  HedgeEvent,
  type HostCandidate,
  type RequestHedging,
  type RouteWorkEstimator,
} from '@hickorybridge/routing';
import type { RefusalReason, RequestHead } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';

import { FailureReason, type CallerOutcome, type CallerRequest } from './CallerRequest.js';
import type { HostChoice } from './HostChoice.js';
import { HostAttempt } from './HostAttempt.js';
import { KeptErrorAnswer, type AnsweredOutcome } from './KeptErrorAnswer.js';

/** Sends a request to the node of another host, or to the backend server of this host. */
export type SendToHost = (
  nodeId: string,
  head: RequestHead,
  body: RequestBody,
  signal: AbortSignal,
) => Promise<ExecutionOutcome>;

export interface RequestRunOptions {
  readonly hosts: HostChoice;
  readonly send: SendToHost;
  readonly retryBudgetFor: (service: string) => RetryAllowance;
  readonly routeWorkEstimator: RouteWorkEstimator;
  /** Hedging with a limit, for the services that have one; other requests use a fixed delay. */
  readonly hedging?: RequestHedging;
  readonly onHedge?: (route: string, event: HedgeEvent) => void;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Refusals of one request after which its caller gets the refusal. */
const maxRefusals = 3;
/** A host that refused a request is avoided for this long, unless it reports its load earlier. */
const avoidAfterRefusalMilliseconds = 30;
/** A host whose backend server could not be reached is avoided for this long. */
const avoidAfterConnectionFailureMilliseconds = 300;
/** A leaving host is avoided until it is connected again, but at most for this long. */
const avoidLeavingMilliseconds = 5000;
/** How long a request waits for a usable host, as a share of its latency target. */
const noHostWaitShare = 0.1;
const noHostPollMilliseconds = 10;
/** A retry needs this multiple of the expected work before the deadline. */
const minimumRetryShare = 1;
/**
 * A request is hedged after this multiple of its expected work. Temporary slowdowns of a host last
 * about as long as a call, and the second host is unlikely to be slow at the same time.
 */
const hedgeDelayFactor = 2;
const minimumHedgeDelayMilliseconds = 30;
const minServerErrorStatus = 500;

/** Routes one request, from the choice of its first host to the outcome for its caller. */
export class RequestRun {
  readonly #options: RequestRunOptions;

  readonly #request: CallerRequest;

  readonly #cancellation = new AbortController();

  /** Hosts to which this request was sent. */
  readonly #attemptedHosts = new Set<string>();

  readonly #runningAttempts = new Set<HostAttempt>();

  /** Attempts that may have run or may still run; a refusal by the host removes its attempt. */
  #possibleRuns = 0;

  /** Attempts that reached a backend server or may have, shed ones included. */
  #backendAttempts = 0;

  #refusals = 0;

  /** The second attempt of limited hedging, which a request makes at most once. */
  #limitedHedge: HostAttempt | undefined;

  #lastHost: string | undefined;

  readonly #errorAnswer = new KeptErrorAnswer();

  constructor(options: RequestRunOptions, request: CallerRequest) {
    this.#options = options;
    this.#request = request;
  }

  /** Routes the request. The caller gets an outcome by the deadline even if no host answers. */
  async run(): Promise<CallerOutcome> {
    const { clock } = this.#options;
    const { deadline, depth, isBelowRepeat, service, signal } = this.#request;
    // Nested calls add nothing to the retry budget. Those of a repeated run use it up.
    if (depth === 0) this.#options.retryBudgetFor(service).recordFirstAttempt();
    else if (isBelowRepeat === true) this.#options.retryBudgetFor(service).recordRetry();
    // Calls of a repeated run are extra work themselves and earn no hedges.
    if (isBelowRepeat !== true) this.#options.hedging?.recordRequest(service, this.#expectedWork());
    return new Promise((resolve) => {
      const settle = (outcome: CallerOutcome) => {
        resolve(outcome);
        this.#errorAnswer.discard();
      };
      const stop = (outcome: CallerOutcome) => {
        settle(outcome);
        this.#cancellation.abort();
        for (const attempt of this.#runningAttempts) attempt.cancel();
      };
      const onAbort = () => stop(this.#failAborted());
      signal.addEventListener('abort', onAbort, { once: true });
      const onTimeout = () =>
        stop(this.#errorAnswer.take() ?? this.#fail(FailureReason.timeout, this.#describeWait()));
      const timer = setTimeout(onTimeout, deadline - clock.now());
      const finish = (outcome: CallerOutcome) => {
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        settle(outcome);
      };
      this.#route().then(finish, (error: unknown) => {
        this.#logFault(error);
        finish(this.#fail(FailureReason.nodeFault, 'a fault of this node'));
      });
    });
  }

  async #route(): Promise<CallerOutcome> {
    for (;;) {
      const candidate = await this.#selectHost();
      // The caller already has its outcome, so no further attempt may start.
      if (this.#cancellation.signal.aborted) return this.#noHost();
      if (candidate === undefined) return this.#errorAnswer.take() ?? this.#noHost();
      const { outcome, winner } = await runHedged({
        first: this.#startAttempt(candidate),
        delayMilliseconds: this.#hedgeDelay(),
        startHedge: () => this.#startHedge(),
      });
      if (winner === this.#limitedHedge && isServed(outcome)) this.#recordHedge(HedgeEvent.won);
      if (this.#cancellation.signal.aborted) {
        if (outcome.type === 'answered') discardBody(outcome.body);
        return this.#noHost();
      }
      const final = this.#decide(winner.candidate, outcome);
      if (final !== undefined) return final;
    }
  }

  async #selectHost(): Promise<HostCandidate | undefined> {
    const { clock, hosts } = this.#options;
    const { allowedRegions, arrivedAt, route } = this.#request;
    if (allowedRegions?.length === 0) return undefined;
    const waitUntil = arrivedAt + route.targetMilliseconds * noHostWaitShare;
    for (;;) {
      const candidate = await hosts.choose(this.#request, this.#attemptedHosts);
      if (candidate !== undefined || this.#attemptedHosts.size > 0) return candidate;
      if (clock.now() >= waitUntil || this.#cancellation.signal.aborted) return undefined;
      await clock.sleep(noHostPollMilliseconds, this.#cancellation.signal);
    }
  }

  /** Delay after which an idempotent request is also sent to a second host. */
  #hedgeDelay(): number | undefined {
    const { body, isBelowRepeat = false, route, service } = this.#request;
    // A streamed body has one reader, and the first attempt still waits for its turn to read it.
    if (!route.idempotent || body.type === 'stream') return undefined;
    const hedging = this.#limitedHedging();
    if (hedging !== undefined) {
      // A refusal shows that slots are short, and hedges give way first.
      const isOff = this.#refusals > 0 || this.#limitedHedge !== undefined || isBelowRepeat;
      return isOff ? undefined : hedging.delayFor(service, route.name);
    }
    return Math.max(minimumHedgeDelayMilliseconds, this.#expectedWork() * hedgeDelayFactor);
  }

  /** The hedging of the service with a limit; `undefined` if none is set. */
  #limitedHedging(): RequestHedging | undefined {
    const { hedging } = this.#options;
    return hedging?.isSetFor(this.#request.service) === true ? hedging : undefined;
  }

  /** Sends the request to a second host, if one is free and the retry budget allows it. */
  async #startHedge(): Promise<HostAttempt | undefined> {
    const { hosts } = this.#options;
    if (this.#cancellation.signal.aborted || !this.#mayRepeat()) return undefined;
    const hedging = this.#limitedHedging();
    if (hedging !== undefined) return this.#startLimitedHedge(hedging);
    const candidate = await hosts.chooseFree(this.#request, this.#attemptedHosts);
    // The first attempt may have ended while the hosts were probed.
    const isWanted = this.#runningAttempts.size > 0 && !this.#cancellation.signal.aborted;
    if (candidate === undefined || !isWanted || !this.#tryTakeRetry()) return undefined;
    this.#logRetry(candidate.entry.nodeId, 'the first host is late');
    return this.#startAttempt(candidate);
  }

  /** Sends a hedge within the limit, after the cheap checks to a host that was just probed. */
  async #startLimitedHedge(hedging: RequestHedging): Promise<HostAttempt | undefined> {
    const { service } = this.#request;
    const work = this.#expectedWork();
    if (!hedging.allows(service, work)) return this.#recordHedge(HedgeEvent.limit);
    const [first] = this.#runningAttempts;
    if (first === undefined) return undefined;
    const choice = await this.#options.hosts.chooseForHedge(
      this.#request,
      this.#attemptedHosts,
      first.candidate,
    );
    // The first attempt may have ended while the hosts were probed.
    if (this.#runningAttempts.size === 0 || this.#cancellation.signal.aborted) return undefined;
    if (choice.type === 'none') return this.#recordHedge(choice.reason);
    // Other hedges may have used the limit meanwhile.
    if (!hedging.allows(service, work)) return this.#recordHedge(HedgeEvent.limit);
    if (!this.#tryTakeRetry()) return this.#recordHedge(HedgeEvent.retryBudget);
    hedging.recordHedge(service, work);
    this.#recordHedge(HedgeEvent.sent);
    this.#logHedge(first.candidate, choice.candidate);
    this.#limitedHedge = this.#startAttempt(choice.candidate, true);
    return this.#limitedHedge;
  }

  #recordHedge(event: HedgeEvent): undefined {
    this.#options.onHedge?.(this.#request.route.name, event);
  }

  #startAttempt(candidate: HostCandidate, isLimitedHedge = false): HostAttempt {
    const { nodeId } = candidate.entry;
    candidate.load.recordSent();
    this.#attemptedHosts.add(nodeId);
    this.#lastHost = nodeId;
    this.#possibleRuns += 1;
    this.#backendAttempts += 1;
    const attempt = new HostAttempt(candidate, async (signal) => {
      const startedAt = this.#options.clock.now();
      const outcome = await this.#send(candidate, signal, isLimitedHedge);
      const isCancelled = signal.aborted;
      if (!isLimitedHedge) this.#recordDuration(outcome, startedAt, isCancelled);
      else if (isCancelled) this.#recordHedge(HedgeEvent.cancelled);
      return outcome;
    });
    this.#runningAttempts.add(attempt);
    const remove = () => this.#runningAttempts.delete(attempt);
    attempt.outcome.then(remove, remove);
    return attempt;
  }

  /** Records how long an attempt took for the learnt delay of hedges. */
  #recordDuration(outcome: ExecutionOutcome, startedAt: number, isCancelled: boolean): void {
    const { clock, hedging } = this.#options;
    const { route, service } = this.#request;
    // Errors and refusals are often fast and say nothing about the usual response time.
    const answered = isServed(outcome) && !isCancelled;
    if (!answered && !isCancelled) return;
    const milliseconds = clock.now() - startedAt;
    hedging?.recordAttempt(service, route.name, { milliseconds, answered });
  }

  async #send(
    { entry, load }: HostCandidate,
    signal: AbortSignal,
    isLimitedHedge: boolean,
  ): Promise<ExecutionOutcome> {
    const { clock, routeWorkEstimator, send } = this.#options;
    const { allowedRegions, body, route } = this.#request;
    const head = {
      ...this.#headFor(entry.nodeId, entry.backendServerId),
      ...(isLimitedHedge ? { isHedge: true } : {}),
    };
    // Only a fault of the choice gets here with another region. Even then nothing may be sent there.
    const outcome: ExecutionOutcome = isInAllowedRegion(entry, allowedRegions)
      ? await send(entry.nodeId, head, body, signal)
      : { type: 'refused', reason: 'not-sent', report: undefined };
    const now = clock.now();
    if (outcome.type === 'refused') {
      this.#possibleRuns -= 1;
      if (!hasArrived(outcome.reason)) this.#backendAttempts -= 1;
    }
    if (outcome.type !== 'lost' && outcome.report !== undefined)
      load.recordReport(outcome.report, now);
    if (outcome.type === 'answered') {
      load.recordOutcome(outcome.head.status >= minServerErrorStatus, now);
      const { workMilliseconds } = outcome.report;
      if (workMilliseconds !== undefined) routeWorkEstimator.record(route.name, workMilliseconds);
    }
    if (outcome.type === 'lost' && !signal.aborted) load.recordOutcome(true, now);
    return outcome;
  }

  #headFor(nodeId: string, backendServerId: string): RequestHead {
    const {
      deadline,
      depth,
      headers,
      isBelowRepeat,
      method,
      requestId,
      route,
      service,
      target,
      tenant,
      usefulUntil,
    } = this.#request;
    return {
      requestId,
      service,
      backendServerId,
      incarnation: 0,
      kind: route.name,
      idempotent: route.idempotent,
      weight: 1 / (1 + route.priority),
      method,
      target,
      headers,
      deadline,
      usefulUntil,
      expectedWorkMilliseconds: this.#expectedWork(),
      depth,
      isRepeat: isBelowRepeat === true || this.#backendAttempts > 1,
      attempts: 1,
      ...(tenant === undefined ? {} : { tenant: tenant.name, tenantPriority: tenant.priority }),
    };
  }

  /** Returns the outcome for the caller, or `undefined` if another attempt follows. */
  #decide(candidate: HostCandidate, outcome: ExecutionOutcome): CallerOutcome | undefined {
    switch (outcome.type) {
      case 'answered':
        return this.#decideAnswered(candidate, outcome);
      case 'refused':
        return this.#decideRefused(candidate, outcome);
      default:
        return this.#decideLost(candidate, outcome);
    }
  }

  #decideAnswered({ entry }: HostCandidate, outcome: AnsweredOutcome): CallerOutcome | undefined {
    const { status } = outcome.head;
    if (status < minServerErrorStatus) return outcome;
    if (this.#tryTakeRetry()) {
      this.#errorAnswer.replace(outcome);
      this.#logRetry(entry.nodeId, `status ${status}`);
      return undefined;
    }
    const earlier = this.#errorAnswer.take();
    if (earlier === undefined) return outcome;
    discardBody(outcome.body);
    return earlier;
  }

  #decideRefused(
    { entry, load }: HostCandidate,
    { reason, report }: Extract<ExecutionOutcome, { type: 'refused' }>,
  ): CallerOutcome | undefined {
    const { clock, logger } = this.#options;
    const { body, requestId, route, tenant } = this.#request;
    this.#refusals += 1;
    load.avoid(avoidMillisecondsAfter(reason), clock.now());
    logger.info('request-refused', 'a host refused the request', {
      requestId,
      route: route.name,
      tenant: tenant?.name,
      tenantPriority: tenant?.priority,
      host: entry.nodeId,
      reason,
      inFlight: report?.inFlight,
      queued: report?.queued,
    });
    const isRetried = hasArrived(reason)
      ? this.#tryTakeRetry()
      : this.#refusals < maxRefusals && canSendBody(body);
    if (isRetried) return undefined;
    return this.#errorAnswer.take() ?? this.#overloaded(reason);
  }

  #decideLost(
    { entry }: HostCandidate,
    { cause, detail }: Extract<ExecutionOutcome, { type: 'lost' }>,
  ): CallerOutcome | undefined {
    const { route } = this.#request;
    if (route.idempotent && cause === LossCause.connection && this.#tryTakeRetry()) {
      this.#logRetry(entry.nodeId, detail);
      return undefined;
    }
    const reason =
      cause === LossCause.deadline ? FailureReason.timeout : FailureReason.connectionLost;
    return this.#errorAnswer.take() ?? this.#fail(reason, detail);
  }

  /** Takes a retry from the budget if the request may be sent to one more backend server. */
  #tryTakeRetry(): boolean {
    const { retryBudgetFor } = this.#options;
    return this.#mayRepeat() && retryBudgetFor(this.#request.service).tryAcquireRetry();
  }

  /** Whether the request allows one more attempt, whatever the budget has left. */
  #mayRepeat(): boolean {
    const { clock } = this.#options;
    const { body, deadline, route } = this.#request;
    if (this.#possibleRuns > 0 && !route.idempotent) return false;
    if (this.#backendAttempts >= route.maxAttempts || !canSendBody(body)) return false;
    return clock.now() + this.#expectedWork() * minimumRetryShare <= deadline;
  }

  #expectedWork(): number {
    const { name, targetMilliseconds } = this.#request.route;
    return this.#options.routeWorkEstimator.expectedWork(name, targetMilliseconds);
  }

  #logHedge(first: HostCandidate, second: HostCandidate): void {
    const { clock, logger } = this.#options;
    const { arrivedAt, requestId, route } = this.#request;
    logger.info('request-hedged', 'sending a late request to a second host', {
      requestId,
      route: route.name,
      host: second.entry.nodeId,
      firstHost: first.entry.nodeId,
      milliseconds: Math.round(clock.now() - arrivedAt),
      tries: this.#backendAttempts,
    });
  }

  #logRetry(host: string, detail: string): void {
    const { requestId, route } = this.#request;
    this.#options.logger.info('request-repeated', 'sending the request to another host', {
      requestId,
      route: route.name,
      host,
      detail,
      tries: this.#backendAttempts,
    });
  }

  #logFault(error: unknown): void {
    const { requestId, route } = this.#request;
    this.#options.logger.error('request-fault', 'routing a request failed unexpectedly', {
      requestId,
      route: route.name,
      detail: error instanceof Error ? (error.stack ?? error.message) : String(error),
    });
  }

  #describeWait(): string {
    if (this.#lastHost === undefined) return 'no host was found for it in time';
    return `no answer in time from host "${this.#lastHost}"`;
  }

  #failAborted(): CallerOutcome {
    return this.#request.signal.reason === FailureReason.stopping
      ? this.#fail(FailureReason.stopping, 'this node ends')
      : this.#fail(FailureReason.callerLeft, 'the caller has left');
  }

  #noHost(): CallerOutcome {
    const { service } = this.#request;
    return this.#fail(
      this.#refusals > 0 ? FailureReason.overloaded : FailureReason.noBackendServer,
      `no further host of service "${service}" can take the request`,
    );
  }

  #overloaded(reason: string): CallerOutcome {
    return this.#fail(FailureReason.overloaded, `every host that was asked refused: ${reason}`);
  }

  #fail(reason: FailureReason, detail: string): CallerOutcome {
    if (this.#possibleRuns > 0) return { type: 'failed', reason, mayHaveRun: true, detail };
    const { clock, hosts, random } = this.#options;
    const returnMilliseconds = computeRetryAfter({
      waitMilliseconds: hosts.shortestWait(this.#request),
      remainingMilliseconds: this.#request.callerDeadline - clock.now(),
      random,
    });
    return { type: 'failed', reason, mayHaveRun: false, detail, returnMilliseconds };
  }
}

function isServed(outcome: ExecutionOutcome): boolean {
  return outcome.type === 'answered' && outcome.head.status < minServerErrorStatus;
}

/** Whether a backend server rejected the request. Such an arrival counts although it did not run. */
function hasArrived(reason: RefusalReason): boolean {
  return reason === 'backend-server-shed' || reason === 'misdirected';
}

/** How long a host that refused a request is avoided, in milliseconds. */
function avoidMillisecondsAfter(reason: RefusalReason): number {
  switch (reason) {
    case 'leaving':
      return avoidLeavingMilliseconds;
    case 'connection-refused':
    case 'misdirected':
    case 'not-ready':
    case 'not-sent':
    case 'no-such-backend-server':
      return avoidAfterConnectionFailureMilliseconds;
    default:
      return avoidAfterRefusalMilliseconds;
  }
}
