import {
  canSendBody,
  LossCause,
  runHedged,
  type ExecutionOutcome,
  type HedgedOutcome,
} from '@hickorybridge/peer-protocol';
import {
  computeDownstreamAttempts,
  decideRetry,
  StopReason,
  TryFailure,
  type SelectionRequest,
} from '@hickorybridge/routing';
import { Outcome, ProblemName, type BackendServerEntry } from '@hickorybridge/types';
import { match } from 'ts-pattern';

import type { RequestRouterOptions } from './RequestRouter.js';
import { RequestTry } from './RequestTry.js';
import { failed, type RoutedOutcome, type RoutedRequest } from './RoutedRequest.js';
import type { ServiceRouting } from './ServiceRouting.js';

// A try that is shorter than this cannot succeed, since the network and the work take longer.
const minimumTryMilliseconds = 1;
// The admission side ends a request at its deadline; its word arrives a little later.
const deadlineGraceMilliseconds = 100;
const expectedBytes = 2000;
// Pause after every eligible backend server has refused, before the next round.
const roundPauseMilliseconds = 5;

/** What the routing of one request needs. */
export interface RoutingRunOptions extends RequestRouterOptions {
  readonly request: RoutedRequest;
  readonly budgets: ServiceRouting;
}

/** The routing of one request, from its first try to its outcome. */
export class RoutingRun {
  readonly #options: RoutingRunOptions;

  readonly #request: RoutedRequest;

  /** Backend servers that this request has tried in this round. */
  readonly #excluded = new Set<string>();

  /** The tries that are under way: one, or two with a hedged request. */
  #running: RequestTry[] = [];

  /** Tries that are still permitted. */
  #attempts: number;

  #mayHaveRun = false;

  #tries = 0;

  constructor(options: RoutingRunOptions) {
    this.#options = options;
    this.#request = options.request;
    this.#attempts = Math.min(options.request.attempts, options.settings.maxAttempts);
  }

  async run(): Promise<RoutedOutcome> {
    const { signal, deadline } = this.#request;
    for (;;) {
      if (signal.aborted)
        return this.#fail(ProblemName.connectionLost, 'the request was cancelled');
      if (this.#options.clock.now() >= deadline) return this.#deadlineExceeded();
      const entry = await this.#select();
      if (entry === undefined) return this.#noBackendServer();
      const result = await this.#try(entry);
      if (result.outcome.type === 'answered') return { ...result.outcome, replayed: false };
      const stop = this.#decide(result);
      if (stop !== undefined) return this.#explainStop(stop, result.outcome);
    }
  }

  /** Takes a backend server that was not tried; when all have refused, waits and starts over. */
  async #select(): Promise<BackendServerEntry | undefined> {
    const { clock, random } = this.#options;
    const entry = this.#selectNow();
    if (entry !== undefined || this.#excluded.size === 0) return entry;
    await clock.sleep(roundPauseMilliseconds * (1 + random.next()), this.#request.signal);
    this.#excluded.clear();
    return this.#selectNow();
  }

  #selectNow(hedged = false): BackendServerEntry | undefined {
    const { service, deadline } = this.#request;
    const selection: SelectionRequest = {
      service: service.name,
      deadline,
      expectedBytes,
      excluded: this.#excluded,
      hedged,
    };
    return this.#options.selector.select(selection);
  }

  /** Sends the request once, with a hedged request when it is late, and waits for the outcome. */
  async #try(entry: BackendServerEntry): Promise<HedgedOutcome<RequestTry>> {
    const { budgets, clock } = this.#options;
    const { body, deadline, depth, kind, signal } = this.#request;
    const startedAt = clock.now();
    const { idempotent } = kind;
    const carried = computeDownstreamAttempts({ attempts: this.#attempts, idempotent, depth });
    const first = this.#start(entry, carried, false);
    const cancelAll = () => this.#running.forEach((each) => each.cancel());
    const timer = setTimeout(cancelAll, deadline - startedAt + deadlineGraceMilliseconds);
    signal.addEventListener('abort', cancelAll, { once: true });
    const hedgeable = idempotent && body.type !== 'stream';
    const result = await runHedged({
      first,
      delayMilliseconds: hedgeable ? budgets.hedgePolicy.delayFor(kind.name) : undefined,
      startHedge: () => this.#startHedge(startedAt, this.#attempts - carried),
    });
    clearTimeout(timer);
    signal.removeEventListener('abort', cancelAll);
    if (result.outcome.type === 'answered' && this.#running.length === 1) {
      budgets.hedgePolicy.recordResponseTime(kind.name, clock.now() - startedAt);
    }
    this.#running = [];
    return result;
  }

  #startHedge(startedAt: number, attemptsKept: number): RequestTry | undefined {
    const { hedgePolicy } = this.#options.budgets;
    const { deadline, kind } = this.#request;
    const now = this.#options.clock.now();
    const due = hedgePolicy.tryHedge({
      kind: kind.name,
      idempotent: kind.idempotent,
      reservedAttempts: attemptsKept,
      elapsedMilliseconds: now - startedAt,
      remainingMilliseconds: deadline - now,
    });
    if (!due) return undefined;
    const entry = this.#selectNow(true);
    if (entry !== undefined) {
      this.#options.observability.metrics.hedges.at(entry.service).add();
      return this.#start(entry, attemptsKept, true);
    }
    hedgePolicy.returnToken();
    return undefined;
  }

  #start(entry: BackendServerEntry, attempts: number, hedged: boolean): RequestTry {
    const { clock, observability, selector, send } = this.#options;
    this.#excluded.add(entry.backendServerId);
    this.#tries += 1;
    const started = new RequestTry({
      request: this.#request,
      entry,
      attempts,
      hedged,
      selector,
      send,
      ...observability,
      clock,
    });
    this.#running.push(started);
    return started;
  }

  /** Decides what follows a try without an answer: `undefined` for another try. */
  #decide({ carried, mayHaveRun }: HedgedOutcome<RequestTry>): StopReason | undefined {
    const decision = decideRetry({
      failure: mayHaveRun ? TryFailure.ambiguous : TryFailure.notRun,
      idempotent: this.#request.kind.idempotent,
      mayHaveRun: this.#mayHaveRun,
      attempts: this.#attempts,
      downstreamAttempts: carried,
      deadline: this.#request.deadline,
      now: this.#options.clock.now(),
      minimumTryMilliseconds,
      budget: this.#options.budgets.retryBudget,
    });
    this.#mayHaveRun ||= mayHaveRun;
    if (decision.type === 'stop') return decision.reason;
    if (!canSendBody(this.#request.body)) return StopReason.noPermission;
    this.#attempts = decision.attempts;
    return undefined;
  }

  #deadlineExceeded(): RoutedOutcome {
    const detail = `the deadline passed after ${this.#tries} tries`;
    return this.#fail(ProblemName.deadlineExceeded, detail);
  }

  #noBackendServer(): RoutedOutcome {
    const detail = `no backend server of service "${this.#request.service.name}" is eligible`;
    return this.#fail(ProblemName.noBackendServer, detail);
  }

  #explainStop(reason: StopReason, last: ExecutionOutcome): RoutedOutcome {
    const late = last.type === 'lost' && last.cause === LossCause.deadline;
    if (late) return this.#fail(ProblemName.deadlineExceeded, describe(last));
    const withoutPermission = this.#mayHaveRun
      ? ProblemName.connectionLost
      : ProblemName.overloaded;
    const problem = match(reason)
      .with(StopReason.deadline, () => ProblemName.deadlineExceeded)
      .with(StopReason.ambiguousLoss, () => ProblemName.connectionLost)
      .with(StopReason.budget, StopReason.noPermission, () => withoutPermission)
      .exhaustive();
    const service = `service "${this.#request.service.name}"`;
    const detail = `request to ${service} ended after ${this.#tries} tries: ${describe(last)}`;
    return this.#fail(problem, `${detail} (${reason})`);
  }

  #fail(problem: ProblemName, detail: string): RoutedOutcome {
    return failed(problem, this.#mayHaveRun ? Outcome.unknown : Outcome.notRun, detail);
  }
}

function describe(outcome: ExecutionOutcome): string {
  if (outcome.type === 'lost') return outcome.detail;
  if (outcome.type === 'refused') return `refused: ${outcome.reason}`;
  return 'answered';
}
