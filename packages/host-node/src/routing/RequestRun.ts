import {
  discardBody,
  LossCause,
  type ExecutionOutcome,
  type RequestBody,
} from '@hickorybridge/peer-protocol';
import type { RetryBudget } from '@hickorybridge/coordination';
import type { Logger } from '@hickorybridge/logger';
import { returnAdvice, type HostCandidate, type RouteTimes } from '@hickorybridge/routing';
import type { RefusalReason, RequestHead } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';

import { FailureReason, type CallerOutcome, type CallerRequest } from './CallerRequest.js';
import type { HostChoice } from './HostChoice.js';

/** Sends a request to the node of a host, or to the own backend server. */
export type SendToHost = (
  nodeId: string,
  head: RequestHead,
  body: RequestBody,
  signal: AbortSignal,
) => Promise<ExecutionOutcome>;

/** What the routing of requests needs. */
export interface RequestRunOptions {
  readonly hosts: HostChoice;
  readonly send: SendToHost;
  readonly budgetOf: (service: string) => RetryBudget;
  readonly routeTimes: RouteTimes;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Hosts that may refuse one request before its caller is told so. */
const maxRefusals = 3;
/** A host that refused is passed over for this long, unless it reports its load before. */
const avoidAfterRefusalMilliseconds = 30;
/** A host whose backend server could not be reached is passed over for this long. */
const avoidAfterConnectionFailureMilliseconds = 300;
/** A host that is about to end is passed over until it is connected again, or for this long. */
const avoidLeavingMilliseconds = 5000;
/** Without any host a request waits this long for one, as a share of its target. */
const noHostWaitShare = 0.1;
const noHostPollMilliseconds = 10;
/** A repeat is sent only while this share of the expected service time is left. */
const minimumRepeatShare = 1;
const firstServerError = 500;

/** The routing of one request, from its first try to what its caller is told. */
export class RequestRun {
  readonly #options: RequestRunOptions;

  readonly #request: CallerRequest;

  readonly #cancellation = new AbortController();

  /** Hosts that have refused or failed this request. */
  readonly #excluded = new Set<string>();

  #mayHaveRun = false;

  /** Backend servers that were sent the request. */
  #arrivals = 0;

  #refusals = 0;

  #lastHost: string | undefined;

  /** An error answer of a backend server, kept while the request is repeated. */
  #errorAnswer: CallerOutcome | undefined;

  constructor(options: RequestRunOptions, request: CallerRequest) {
    this.#options = options;
    this.#request = request;
  }

  /** Routes the request. The caller is told at its deadline, whatever a host does. */
  async run(): Promise<CallerOutcome> {
    const { clock } = this.#options;
    const { deadline, service, signal } = this.#request;
    this.#options.budgetOf(service).noteFirstTry();
    return new Promise((resolve) => {
      const stop = (outcome: CallerOutcome) => {
        resolve(outcome);
        this.#cancellation.abort();
      };
      const onLeft = () => stop(this.#fail(FailureReason.callerLeft, 'the caller has left'));
      signal.addEventListener('abort', onLeft, { once: true });
      const onTimeout = () =>
        stop(this.#errorAnswer ?? this.#fail(FailureReason.timeout, this.#describeWait()));
      const timer = setTimeout(onTimeout, deadline - clock.now());
      this.#route().then((outcome) => {
        clearTimeout(timer);
        signal.removeEventListener('abort', onLeft);
        resolve(outcome);
      });
    });
  }

  async #route(): Promise<CallerOutcome> {
    for (;;) {
      const candidate = await this.#selectHost();
      if (candidate === undefined) return this.#errorAnswer ?? this.#noHost();
      const outcome = await this.#try(candidate);
      const final = this.#decide(candidate, outcome);
      if (final !== undefined) return final;
    }
  }

  async #selectHost(): Promise<HostCandidate | undefined> {
    const { clock, hosts } = this.#options;
    const { arrivedAt, route } = this.#request;
    const waitUntil = arrivedAt + route.targetMilliseconds * noHostWaitShare;
    for (;;) {
      const candidate = hosts.select(this.#request, this.#excluded);
      if (candidate !== undefined || this.#excluded.size > 0) return candidate;
      if (clock.now() >= waitUntil || this.#cancellation.signal.aborted) return undefined;
      await clock.sleep(noHostPollMilliseconds, this.#cancellation.signal);
    }
  }

  async #try({ entry, load }: HostCandidate): Promise<ExecutionOutcome> {
    const { clock, routeTimes, send } = this.#options;
    const { body, route } = this.#request;
    load.sent();
    this.#lastHost = entry.nodeId;
    // Until the host says that it did not, it may run the request.
    const mayHaveRunBefore = this.#mayHaveRun;
    this.#mayHaveRun = true;
    const head = this.#headFor(entry.nodeId, entry.backendServerId);
    const outcome = await send(entry.nodeId, head, body, this.#cancellation.signal);
    const now = clock.now();
    if (outcome.type === 'refused') this.#mayHaveRun = mayHaveRunBefore;
    if (outcome.type !== 'lost' && outcome.report !== undefined) load.reported(outcome.report, now);
    if (outcome.type === 'answered') {
      load.answered(outcome.head.status >= firstServerError, now);
      const { workMilliseconds } = outcome.report;
      if (workMilliseconds !== undefined) routeTimes.record(route.name, workMilliseconds);
    }
    if (outcome.type === 'lost' && !this.#cancellation.signal.aborted) load.answered(true, now);
    return outcome;
  }

  #headFor(nodeId: string, backendServerId: string): RequestHead {
    const { arrivedAt, deadline, depth, headers, method, requestId, route, service, target } =
      this.#request;
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
      usefulUntil: Math.min(deadline, arrivedAt + route.targetMilliseconds),
      depth,
      attempts: 1,
    };
  }

  /** Decides what follows a try: the caller's outcome, or `undefined` for another try. */
  #decide({ entry, load }: HostCandidate, outcome: ExecutionOutcome): CallerOutcome | undefined {
    const { clock, logger } = this.#options;
    const { requestId, route } = this.#request;
    this.#excluded.add(entry.nodeId);
    if (outcome.type === 'answered') {
      this.#arrivals += 1;
      if (outcome.head.status < firstServerError || !this.#mayRepeat()) {
        if (this.#errorAnswer?.type === 'answered' && outcome.head.status >= firstServerError) {
          discardBody(outcome.body);
          return this.#errorAnswer;
        }
        return outcome;
      }
      this.#errorAnswer = outcome;
      this.#logRepeat(entry.nodeId, `status ${outcome.head.status}`);
      return undefined;
    }
    if (outcome.type === 'refused') {
      this.#refusals += 1;
      load.avoid(avoidanceAfter(outcome.reason), clock.now());
      logger.info('request-refused', 'a host did not run the request', {
        requestId,
        route: route.name,
        host: entry.nodeId,
        reason: outcome.reason,
        inFlight: outcome.report?.inFlight,
        queued: outcome.report?.queued,
      });
      if (outcome.reason === 'backend-server-shed') {
        this.#arrivals += 1;
        if (!this.#mayRepeat()) return this.#errorAnswer ?? this.#overloaded(outcome.reason);
        return undefined;
      }
      if (this.#refusals < maxRefusals && this.#canSendAgain()) return undefined;
      return this.#errorAnswer ?? this.#overloaded(outcome.reason);
    }
    this.#arrivals += 1;
    if (route.idempotent && outcome.cause === LossCause.connection && this.#mayRepeat()) {
      this.#logRepeat(entry.nodeId, outcome.detail);
      return undefined;
    }
    const reason =
      outcome.cause === LossCause.deadline ? FailureReason.timeout : FailureReason.connectionLost;
    return this.#errorAnswer ?? this.#fail(reason, outcome.detail);
  }

  /** Whether the request may be sent to one more backend server. */
  #mayRepeat(): boolean {
    const { budgetOf, clock, routeTimes } = this.#options;
    const { deadline, route, service } = this.#request;
    if (this.#mayHaveRun && !route.idempotent) return false;
    if (this.#arrivals >= route.maxAttempts || !this.#canSendAgain()) return false;
    const expected = routeTimes.expectedFor(route.name, route.targetMilliseconds);
    if (clock.now() + expected * minimumRepeatShare > deadline) return false;
    return budgetOf(service).tryRetry();
  }

  /** A body that streams from the caller can be sent again only while none of it was read. */
  #canSendAgain(): boolean {
    const { body } = this.#request;
    return body.type !== 'stream' || !body.stream.readableDidRead;
  }

  #logRepeat(host: string, detail: string): void {
    const { requestId, route } = this.#request;
    this.#options.logger.info('request-repeated', 'the request goes to another host', {
      requestId,
      route: route.name,
      host,
      detail,
      tries: this.#arrivals,
    });
  }

  #describeWait(): string {
    if (this.#lastHost === undefined) return 'no host was found for it in time';
    return `no answer in time from host "${this.#lastHost}"`;
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
    if (this.#mayHaveRun) return { type: 'failed', reason, mayHaveRun: true, detail };
    const { clock, hosts, random } = this.#options;
    const returnMilliseconds = returnAdvice({
      waitMilliseconds: hosts.shortestWait(this.#request.service),
      remainingMilliseconds: this.#request.callerDeadline - clock.now(),
      random,
    });
    return { type: 'failed', reason, mayHaveRun: false, detail, returnMilliseconds };
  }
}

/** How long a host is passed over that refused a request, in milliseconds. */
function avoidanceAfter(reason: RefusalReason): number {
  switch (reason) {
    case 'leaving':
      return avoidLeavingMilliseconds;
    case 'connection-refused':
    case 'not-ready':
    case 'not-sent':
    case 'no-such-backend-server':
      return avoidAfterConnectionFailureMilliseconds;
    default:
      return avoidAfterRefusalMilliseconds;
  }
}
